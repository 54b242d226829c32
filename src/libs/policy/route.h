#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Policy {

/** What may be done with a request more than once. */
enum class RequestKind : std::uint8_t {
    /** May run again at any time. */
    Safe,
    /** May run once at most. */
    Unsafe,
    /** Is answered by a stream of events; runs once at most unless the route lets it be resumed. */
    Stream,
};

/** A service that a route sends to, and its part of the route's requests. */
struct RouteTarget {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    bool isResumable = false;
    bool isPublic = false;
    /** The longest time that a caller is kept waiting. */
    Foundation::Duration timeout {};
    /** The time to the answer, or to the first event of a stream, that callers expect. */
    Foundation::Duration goal {};
    /** The longest pause between events that callers expect. */
    Foundation::Duration gapTarget {};
    /** The rank of the requests; 0 is the most urgent. */
    int priority = 0;
    /** The most upstreams that may begin to run one request. */
    int maximumRuns = 1;
    std::vector<RouteTarget> targets;
    /** The regions in which requests may be handled; empty if any. */
    std::vector<std::string> regions;

    /** @return whether a request may run again after it may have run. */
    bool isRepeatable() const
    {
        return this->kind == RequestKind::Safe || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

} // namespace Policy
