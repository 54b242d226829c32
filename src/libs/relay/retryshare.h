#pragma once

#include "slidingcount.h"

#include <foundation/clock.h>

#include <map>
#include <string>
#include <string_view>

namespace Relay {

/** The bound on repeated sends that all processes keep together. */
struct RetryBound {
    /** Repeats allowed for each request of the window. */
    double ratio = 0.2;
    /** Repeats allowed beyond that, over all processes. */
    double slack = 0;
    Foundation::Duration window = std::chrono::seconds(10);
};

/**
 * The part of a fleet-wide retry budget that belongs to this process: the ratio of its own requests and an even part
 * of the slack. The parts sum up to the budget, so no process has to ask another.
 */
class RetryShare {
public:
    explicit RetryShare(RetryBound bound);

    void setBound(RetryBound newBound) { this->bound = newBound; }

    /** Sets how many processes share the slack. */
    void setProcessCount(std::size_t count) { this->processCount = count; }

    /** Counts a request for a service. */
    void noteRequest(std::string_view service, Foundation::TimePoint now);

    /**
     * Spends one repeat.
     * @return whether the share allows it.
     */
    bool trySpend(std::string_view service, Foundation::TimePoint now);

private:
    struct Counts {
        SlidingCount requests;
        SlidingCount repeats;
    };

    Counts& countsOf(std::string_view service);

    RetryBound bound;
    std::size_t processCount = 1;
    std::map<std::string, Counts, std::less<>> services;
};

} // namespace Relay
