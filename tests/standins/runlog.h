#pragma once

#include <web/httprequest.h>

#include <string>

/** A file to which the upstreams of a test append what they run. */
class RunLog {
public:
    /** @param path the file. @param upstream the id of the upstream that writes. */
    RunLog(const std::string& path, std::string upstream);
    ~RunLog();
    RunLog(const RunLog&) = delete;
    RunLog& operator=(const RunLog&) = delete;

    /** Appends a line: what happened, the id of the upstream, the id of the request, and the time in ms. */
    void write(const std::string& what, std::string_view request) const;

private:
    std::string upstream;
    int descriptor = -1;
};
