#pragma once

#include "tokenbucket.h"

#include <configuration/environmentdocument.h>
#include <foundation/clock.h>

namespace Admission {

class StartupRamp {
public:
    /**
     * @param clock the time source; must outlive the ramp.
     * @param upstream the limits of the upstream, both when cold and when warm.
     */
    StartupRamp(const Foundation::Clock& clock, const Configuration::UpstreamDefinition& upstream);

    /** Applies changed limits. The level of the ramp is kept. */
    void reconfigure(const Configuration::UpstreamDefinition& upstream);

    /** Counts a request as running if the limits allow it to start now; returns whether they do. */
    bool tryStart(std::int64_t promptTokens);

    /** Records the end of a request that completed. Enough of them raise the limits by one level. */
    void recordCompletion();

    /** Records the end of a request that failed or was cancelled. It does not count towards the next level. */
    void recordAbort();

    /**
     * Compares the time to a first token with the baseline of this upstream.
     * @param elapsed the time from dispatch to the first token.
     * @param expected the time that the prefill of the tokens ahead and of the prompt should have taken.
     * @return whether the upstream now counts as cold; the ramp is then back at its first level.
     */
    bool recordFirstToken(Foundation::Duration elapsed, Foundation::Duration expected);

    /**
     * Records the prefill rate of the upstream, measured over a window.
     * @param relativeRate the measured rate divided by the rate that the current limits allow.
     * @return whether the upstream now counts as cold; the ramp is then back at its first level.
     */
    bool recordPrefillRate(double relativeRate);

    /** Returns whether such a time to the first token would count as slow. */
    bool isSlow(Foundation::Duration elapsed, Foundation::Duration expected) const;

    /** Returns to the first level after a restart of the upstream. Requests that ran before no longer count. */
    void restart();

    /** Returns the number of requests that may run concurrently now. */
    std::int64_t concurrentLimit() const;

    /** Returns the number of prompt tokens that may start per second now. */
    std::int64_t prefillTokensPerSecond() const;

    /** Returns the time until the prefill rate limit admits a prompt of that many tokens. */
    Foundation::Duration timeUntilPrefill(std::int64_t promptTokens) const;

    std::int64_t running() const { return this->runningRequests; }

    /** Returns whether both limits have reached those of the warm upstream. */
    bool isWarm() const;

private:
    void decrementRunning();
    void resetLevel();
    double maximumBaselineRatio() const;
    void updateBaselineRatio(double ratio);
    void applyLevel();

    Configuration::UpstreamDefinition upstream;
    TokenBucket prefillRateLimit;
    int level = 0;
    std::int64_t completedAtLevel = 0;
    std::int64_t runningRequests = 0;
    /** Smoothed ratio of the actual to the expected time to the first token. */
    double baselineRatio;
    int slowFirstTokens = 0;
};

} // namespace Admission
