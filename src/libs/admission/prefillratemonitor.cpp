#include "prefillratemonitor.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr Foundation::Duration minimumWindow = std::chrono::milliseconds(400);
constexpr double longestPromptsPerWindow = 2;

} // namespace

/**
 * @class PrefillRateMonitor
 * Compares the measured prefill rate of a busy engine with the expected rate. Unlike the time to first token of single
 * requests, it shows within one window that an engine with many waiting requests has turned cold.
 */
PrefillRateMonitor::PrefillRateMonitor(const Foundation::Clock& clock)
    : clock(clock)
{
}

void PrefillRateMonitor::recordPrefilled(std::int64_t tokens) { this->prefilledTokens += tokens; }

void PrefillRateMonitor::reset()
{
    this->windowStart.reset();
    this->prefilledTokens = 0;
}

std::optional<double> PrefillRateMonitor::measure(double expectedTokensPerSecond, std::int64_t longestPrompt)
{
    const Foundation::TimePoint now = this->clock.now();
    if (!this->windowStart) {
        this->windowStart = now;
        this->prefilledTokens = 0;
        return std::nullopt;
    }
    const Foundation::Duration elapsed = now - *this->windowStart;
    // No prefill may end while the longest prompt is prefilled, so a shorter window could contain no sample.
    const auto longestPromptWindow = Foundation::fromSeconds(
        longestPromptsPerWindow * static_cast<double>(longestPrompt) / expectedTokensPerSecond);
    if (elapsed < std::max(minimumWindow, longestPromptWindow))
        return std::nullopt;
    const double tokensPerSecond = static_cast<double>(this->prefilledTokens) / Foundation::toSeconds(elapsed);
    this->reset();
    return tokensPerSecond / expectedTokensPerSecond;
}

} // namespace Admission
