#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Policy {

/** How often a request may be executed. */
enum class RequestKind : std::uint8_t {
    /** May be executed any number of times. */
    Safe,
    /** May be executed at most once. */
    Unsafe,
    /** Is answered by a stream of events; executed at most once unless the route allows resuming. */
    Stream,
};

/** A service that a route sends to, and its weight among the targets of the route. */
struct RouteTarget {
    std::string service;
    double weight = 1;
};

/** The rules for requests with the same host and path prefix. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /** Whether a broken stream may be resumed at another upstream. */
    bool isResumable = false;
    /** Whether requests need no API key. */
    bool isPublic = false;
    /** The longest time that a caller is kept waiting. */
    Foundation::Duration timeout {};
    /** The time to the answer, or to the first event of a stream, that callers expect. */
    Foundation::Duration firstEventTarget {};
    /** The longest gap between events that callers expect. */
    Foundation::Duration eventGapTarget {};
    /** 0 is the most urgent. */
    int priority = 0;
    /** The maximum number of upstreams that may start to execute one request. */
    int maximumRuns = 1;
    std::vector<RouteTarget> targets;
    /** The regions in which requests may be handled; empty allows all. */
    std::vector<std::string> regions;

    /** Returns whether a request may be executed again if an earlier attempt may already have executed it. */
    bool isRepeatable() const
    {
        return this->kind == RequestKind::Safe || (this->kind == RequestKind::Stream && this->isResumable);
    }
};

} // namespace Policy
