#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <optional>

namespace Admission {

class PrefillRateMonitor {
public:
    /** @param clock the time source; must outlive the monitor. */
    explicit PrefillRateMonitor(const Foundation::Clock& clock);

    /** Records the end of the prefill of a prompt. */
    void recordPrefilled(std::int64_t tokens);

    /** Discards the current window when the engine has nothing to prefill. */
    void reset();

    /**
     * Measures the prefill rate since the engine became busy, once the window is long enough. A complete measurement
     * ends the window.
     * @param expectedTokensPerSecond the prefill rate that is expected of the engine.
     * @param longestPrompt the length of the longest prompt in flight, in tokens. It sets the minimum window, since no
     * prefill may end while that prompt is prefilled.
     * @return the measured rate divided by the expected rate, or nothing while the window is too short.
     */
    std::optional<double> measure(double expectedTokensPerSecond, std::int64_t longestPrompt);

private:
    const Foundation::Clock& clock;
    std::optional<Foundation::TimePoint> windowStart;
    std::int64_t prefilledTokens = 0;
};

} // namespace Admission
