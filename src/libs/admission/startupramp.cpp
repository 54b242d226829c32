#include "startupramp.h"

#include <foundation/mechanism.h>

#include <algorithm>

namespace Admission {

namespace {

constexpr int maximumLevel = 40;
constexpr int slowFirstTokensBeforeCold = 3;
constexpr double warmSmoothingFactor = 0.05;
constexpr double rampUpSmoothingFactor = 0.2;
constexpr double minimumBaselineRatio = 1;
constexpr double maximumWarmBaselineRatio = 1.2;
constexpr double maximumRampUpBaselineRatio = 5;
constexpr Foundation::Duration minimumExpectedTime = std::chrono::milliseconds(20);

std::int64_t limitAtLevel(std::int64_t initial, std::int64_t maximum, int level)
{
    const double value = static_cast<double>(initial) * static_cast<double>(std::int64_t { 1 } << level);
    return std::min(maximum, static_cast<std::int64_t>(std::min(value, static_cast<double>(maximum))));
}

double latencyRatio(Foundation::Duration elapsed, Foundation::Duration expected)
{
    return Foundation::toSeconds(elapsed) / Foundation::toSeconds(std::max(expected, minimumExpectedTime));
}

} // namespace

/**
 * @class StartupRamp
 * Limits the concurrent requests and the prompt tokens per second of an upstream that has just started. Each level
 * doubles both limits. A level is reached only after as many completed requests as the level before allows
 * concurrently, never by the passing of time alone. The idea of two limits that are raised in steps is from "Waiting
 * Rooms & Admission Control".
 */
StartupRamp::StartupRamp(const Foundation::Clock& clock, const Configuration::UpstreamDefinition& upstream)
    : upstream(upstream)
    , prefillRateLimit(clock, static_cast<double>(upstream.ramp.initialPrefillTokensPerSecond),
          static_cast<double>(upstream.ramp.initialPrefillTokensPerSecond))
    , baselineRatio(maximumRampUpBaselineRatio)
{
    this->applyLevel();
}

void StartupRamp::reconfigure(const Configuration::UpstreamDefinition& changed)
{
    this->upstream = changed;
    this->applyLevel();
}

bool StartupRamp::tryStart(std::int64_t promptTokens)
{
    const bool isEnforced = Foundation::isEnabled(Foundation::Mechanism::StartupRamp);
    if (isEnforced && this->runningRequests >= this->concurrentLimit())
        return false;
    if (isEnforced && !this->prefillRateLimit.tryConsume(static_cast<double>(promptTokens)))
        return false;
    ++this->runningRequests;
    return true;
}

void StartupRamp::recordCompletion()
{
    this->decrementRunning();
    if (this->isWarm())
        return;
    ++this->completedAtLevel;
    if (this->completedAtLevel < this->concurrentLimit())
        return;
    this->completedAtLevel = 0;
    this->level = std::min(this->level + 1, maximumLevel);
    this->applyLevel();
}

void StartupRamp::recordAbort() { this->decrementRunning(); }

bool StartupRamp::recordFirstToken(Foundation::Duration elapsed, Foundation::Duration expected)
{
    const double ratio = latencyRatio(elapsed, expected);
    if (!this->isSlow(elapsed, expected)) {
        this->slowFirstTokens = 0;
        this->updateBaselineRatio(ratio);
        return false;
    }
    ++this->slowFirstTokens;
    if (this->slowFirstTokens < slowFirstTokensBeforeCold)
        return false;
    this->resetLevel();
    return true;
}

bool StartupRamp::recordPrefillRate(double relativeRate)
{
    const bool canTurnCold = this->level > 0 || this->isWarm();
    if (!canTurnCold || relativeRate * this->upstream.ramp.coldFactor >= 1)
        return false;
    this->resetLevel();
    return true;
}

bool StartupRamp::isSlow(Foundation::Duration elapsed, Foundation::Duration expected) const
{
    const double baseline = std::min(this->baselineRatio, this->maximumBaselineRatio());
    const bool canTurnCold = this->level > 0 || this->isWarm();
    return canTurnCold && latencyRatio(elapsed, expected) > baseline * this->upstream.ramp.coldFactor;
}

double StartupRamp::maximumBaselineRatio() const
{
    return this->isWarm() ? maximumWarmBaselineRatio : maximumRampUpBaselineRatio;
}

// During ramp-up, first tokens are normally slow and become faster; those of a warm upstream take about the expected
// time.
void StartupRamp::updateBaselineRatio(double ratio)
{
    const double maximum = this->maximumBaselineRatio();
    const double smoothingFactor = this->isWarm() ? warmSmoothingFactor : rampUpSmoothingFactor;
    this->baselineRatio = std::min(this->baselineRatio, maximum);
    this->baselineRatio += smoothingFactor * (std::clamp(ratio, minimumBaselineRatio, maximum) - this->baselineRatio);
}

void StartupRamp::restart()
{
    this->runningRequests = 0;
    this->resetLevel();
}

std::int64_t StartupRamp::concurrentLimit() const
{
    return limitAtLevel(this->upstream.ramp.initialConcurrent, this->upstream.maximumConcurrent, this->level);
}

std::int64_t StartupRamp::prefillTokensPerSecond() const
{
    return limitAtLevel(
        this->upstream.ramp.initialPrefillTokensPerSecond, this->upstream.prefillTokensPerSecond, this->level);
}

Foundation::Duration StartupRamp::timeUntilPrefill(std::int64_t promptTokens) const
{
    return this->prefillRateLimit.timeUntil(static_cast<double>(promptTokens));
}

bool StartupRamp::isWarm() const
{
    return this->concurrentLimit() == this->upstream.maximumConcurrent
        && this->prefillTokensPerSecond() == this->upstream.prefillTokensPerSecond;
}

void StartupRamp::decrementRunning() { this->runningRequests = std::max<std::int64_t>(0, this->runningRequests - 1); }

void StartupRamp::resetLevel()
{
    this->level = 0;
    this->completedAtLevel = 0;
    this->slowFirstTokens = 0;
    this->baselineRatio = maximumRampUpBaselineRatio;
    this->applyLevel();
}

void StartupRamp::applyLevel()
{
    // The queue of a warm upstream limits its rate; the token bucket then only limits a burst to two seconds of
    // prefill.
    constexpr double warmRateFactor = 4;
    constexpr double warmBurstSeconds = 2;
    const auto rate = static_cast<double>(this->prefillTokensPerSecond());
    if (this->isWarm())
        this->prefillRateLimit.setRate(rate * warmRateFactor, rate * warmBurstSeconds);
    else
        this->prefillRateLimit.setRate(rate, rate);
}

} // namespace Admission
