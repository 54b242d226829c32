#pragma once

#include "slidingcount.h"

#include <foundation/clock.h>

#include <map>
#include <string>
#include <string_view>

namespace Relay {

/**
 * Bounds the requests that a cold upstream gets in a second. Each process keeps an even part of the bound, also while
 * it is cut off from the others.
 */
class StartLimiter {
public:
    /** Sets how many processes send. */
    void setProcessCount(std::size_t count) { this->processCount = count; }

    /**
     * @param upstreamRun the upstream's run.
     * @param requestsPerSecond what it bears from all processes together.
     * @return whether one more request may be sent now.
     */
    bool allows(std::string_view upstreamRun, double requestsPerSecond, Foundation::TimePoint now);

    /** Counts a request that is sent. */
    void noteSent(std::string_view upstreamRun, Foundation::TimePoint now);

    /** Forgets a run that is over. */
    void forget(std::string_view upstreamRun);

private:
    std::size_t processCount = 1;
    std::map<std::string, SlidingCount, std::less<>> sent;
};

} // namespace Relay
