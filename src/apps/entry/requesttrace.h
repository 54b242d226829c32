#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Entry {

/** The steps of one request, such as its attempts and their outcomes, for operators. */
struct RequestTrace {
    /** The id of the request. */
    std::string request;
    std::vector<std::string> steps;
};

class RequestTraces {
public:
    /** Stores the trace of a request that has ended. */
    void add(RequestTrace trace);

    /** Returns the trace; none if the request is not finished, was not handled here, or its trace was evicted. */
    std::optional<RequestTrace> find(std::string_view request) const;

private:
    mutable std::mutex mutex;
    std::map<std::string, RequestTrace, std::less<>> traces;
    std::deque<std::string> insertionOrder;
};

} // namespace Entry
