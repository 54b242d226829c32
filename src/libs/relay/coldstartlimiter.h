#pragma once

#include "slidingwindowcounter.h"

#include <foundation/clock.h>

#include <map>
#include <string>
#include <string_view>

namespace Relay {

/**
 * Limits the request rate of each cold upstream. Each process applies an equal part of the limit, also while it is
 * partitioned from the others.
 */
class ColdStartLimiter {
public:
    /** Sets the number of processes that share the limit. */
    void setProcessCount(std::size_t count) { this->processCount = count; }

    /**
     * Decides whether one more request may be sent now. At least one request per window is always allowed.
     * @param upstreamGeneration the generation of the upstream.
     * @param requestsPerSecond the limit for all processes together.
     */
    bool allows(std::string_view upstreamGeneration, double requestsPerSecond, Foundation::TimePoint now);

    /** Counts a request that was sent. */
    void countRequest(std::string_view upstreamGeneration, Foundation::TimePoint now);

    /** Removes the counter of an upstream generation that has ended. */
    void remove(std::string_view upstreamGeneration);

private:
    std::size_t processCount = 1;
    std::map<std::string, SlidingWindowCounter, std::less<>> sentRequests;
};

} // namespace Relay
