#pragma once

#include "slidingwindowcounter.h"

#include <foundation/clock.h>

#include <map>
#include <string>
#include <string_view>

namespace Relay {

/** The limit on retries of a service, for all processes together. */
struct RetryLimit {
    /** Retries allowed for each request of the window. */
    double ratio = 0.2;
    /** Retries allowed in addition, over all processes. */
    double fixedAllowance = 0;
    /** The length of the sliding window. */
    Foundation::Duration window = std::chrono::seconds(10);
};

/**
 * This process's part of a fleet-wide retry budget: the ratio of its own requests and an equal part of the fixed
 * allowance. The parts add up to the budget, so the processes need no coordination.
 */
class LocalRetryBudget {
public:
    explicit LocalRetryBudget(RetryLimit limit);

    void setLimit(RetryLimit newLimit) { this->limit = newLimit; }

    /** Sets the number of processes that share the fixed allowance. */
    void setProcessCount(std::size_t count) { this->processCount = count; }

    /** Counts a new request for a service. */
    void countRequest(std::string_view service, Foundation::TimePoint now);

    /**
     * Spends one retry.
     * @return false if the budget is exhausted; nothing is spent then.
     */
    bool trySpend(std::string_view service, Foundation::TimePoint now);

    /**
     * Takes a retry back that was not sent.
     * @param spentAt the time at which it was spent.
     */
    void giveBack(std::string_view service, Foundation::TimePoint spentAt);

private:
    struct Counts {
        SlidingWindowCounter requests;
        SlidingWindowCounter retries;
    };

    Counts& countsFor(std::string_view service);

    RetryLimit limit;
    std::size_t processCount = 1;
    std::map<std::string, Counts, std::less<>> services;
};

} // namespace Relay
