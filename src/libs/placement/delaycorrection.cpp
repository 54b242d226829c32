#include "delaycorrection.h"

#include <algorithm>
#include <array>
#include <span>

namespace Placement {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// A crowd builds up and ends within a second; a first event tells of a load that is already a few hundred ms old.
constexpr Duration window = std::chrono::milliseconds(400);
// A correction holds for this time after the newest measurement, and then falls to zero over the next.
constexpr Duration holdTime = std::chrono::milliseconds(300);
constexpr Duration fadeTime = std::chrono::milliseconds(600);
// Of three samples, one that is wrong does not change the median beyond the others.
constexpr std::size_t minimumSamples = 3;
// Bounds the cost of a median at large gateways; half a second of 64 prompts per second.
constexpr std::size_t fleetSampleLimit = 32;
constexpr std::size_t engineSampleLimit = 7;
// The median of all engines is computed at most this often.
constexpr Duration estimateInterval = std::chrono::milliseconds(10);
constexpr Duration cleanupInterval = std::chrono::seconds(5);

} // namespace

DelayCorrection::DelayCorrection(const Foundation::Clock& clock)
    : clock(clock)
{
}

void DelayCorrection::record(std::string_view engine, Duration predicted, Duration measured)
{
    const Sample sample { this->clock.now(), measured - predicted };
    this->add(this->fleet, sample, fleetSampleLimit);
    this->isFleetEstimated = false;
    const auto found = this->engines.find(engine);
    this->add(
        found == this->engines.end() ? this->engines[std::string(engine)] : found->second, sample, engineSampleLimit);
    this->dropUnusedEngines();
}

Duration DelayCorrection::fleetDelay() const
{
    const TimePoint now = this->clock.now();
    if (!this->isFleetEstimated || now - this->fleetEstimatedAt >= estimateInterval) {
        this->fleetEstimate = this->estimate(this->fleet);
        this->fleetEstimatedAt = now;
        this->isFleetEstimated = true;
    }
    return this->faded(this->fleetEstimate);
}

Duration DelayCorrection::delayAt(std::string_view engine) const
{
    const TimePoint now = this->clock.now();
    if (this->fleet.empty() || now - this->fleet.back().at >= holdTime + fadeTime)
        return {};
    const auto found = this->engines.find(engine);
    if (found != this->engines.end() && now - found->second.back().at < holdTime) {
        const Estimate own = this->estimate(found->second);
        if (own.isKnown)
            return this->faded(own);
    }
    return this->fleetDelay();
}

void DelayCorrection::add(Samples& samples, const Sample& sample, std::size_t limit)
{
    samples.push_back(sample);
    if (samples.size() > limit)
        samples.pop_front();
}

DelayCorrection::Estimate DelayCorrection::estimate(const Samples& samples) const
{
    if (samples.empty())
        return {};
    // The window ends at the newest sample, so that the median stays while it fades.
    const TimePoint newestAt = samples.back().at;
    std::array<Duration, fleetSampleLimit> latenesses;
    std::size_t count = 0;
    for (const Sample& sample : samples) {
        if (newestAt - sample.at <= window)
            latenesses.at(count++) = sample.lateness;
    }
    if (count < minimumSamples)
        return {};
    const std::span<Duration> recent(latenesses.data(), count);
    const auto middle = recent.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
    std::ranges::nth_element(recent, middle);
    return { *middle, newestAt, true };
}

Duration DelayCorrection::faded(const Estimate& estimate) const
{
    const Duration beyond = this->clock.now() - estimate.newestAt - holdTime;
    const double left = std::clamp(1 - Foundation::toSeconds(beyond) / Foundation::toSeconds(fadeTime), 0.0, 1.0);
    return Foundation::fromSeconds(left * std::max(0.0, Foundation::toSeconds(estimate.median)));
}

void DelayCorrection::dropUnusedEngines()
{
    const TimePoint now = this->clock.now();
    if (now < this->nextCleanup)
        return;
    this->nextCleanup = now + cleanupInterval;
    std::erase_if(
        this->engines, [now](const auto& entry) { return now - entry.second.back().at > holdTime + fadeTime; });
}

} // namespace Placement
