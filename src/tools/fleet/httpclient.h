#pragma once

#include <platform/httptransfers.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <string>
#include <vector>

namespace Fleet {

/** Makes blocking HTTP calls one at a time, for the use of a single thread. */
class HttpClient {
public:
    /** Makes a call and waits for its result. */
    Platform::HttpCallResult fetch(Platform::HttpCall call);

    /** Makes a GET call. Returns the body; empty if the call failed. */
    std::string get(const std::string& url);

    /** Makes a call with a body; it times out after 60 s. */
    Platform::HttpCallResult send(const std::string& method, const std::string& url, const std::string& body,
        const std::vector<std::string>& headers = {});

private:
    asio::io_context context { 1 };
    // Keeps the context from entering the stopped state between two calls.
    asio::executor_work_guard<asio::io_context::executor_type> workGuard = asio::make_work_guard(this->context);
    Platform::HttpTransfers transfers { context };
};

} // namespace Fleet
