#include "demandmonitor.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// The time constant of the demand, well below the ten seconds in which the mix of prompts turns.
constexpr double demandSeconds = 2;
// The time constants of the two averages of the streams in flight. During steady growth they lag behind by these times,
// so their difference is the growth in 0.9 seconds.
constexpr double fastSeconds = 0.3;
constexpr double slowSeconds = 1.2;
// Extrapolates the growth by about two seconds, the time that a usual stream takes.
constexpr double growthFactor = 2;
// The part of an engine's slots that streams are expected to fill. Equals what the planner packs.
constexpr double usableSlotFraction = 0.6;
// One engine in this many is always open to long prompts, which must not be starved by short ones.
constexpr std::size_t guaranteedEngineInterval = 8;

} // namespace

double DemandMonitor::decayed(const Rate& rate, TimePoint now)
{
    const double elapsed = Foundation::toSeconds(now - rate.updatedAt);
    return rate.perSecond * std::exp(-std::max(0.0, elapsed) / demandSeconds);
}

void DemandMonitor::recordArrival(Duration prefillTime, bool isShort, TimePoint now)
{
    Rate& rate = isShort ? this->shortDemand : this->longDemand;
    rate = { decayed(rate, now) + Foundation::toSeconds(prefillTime) / demandSeconds, now };
}

double DemandMonitor::prefillDemand(bool isShort, TimePoint now) const
{
    return decayed(isShort ? this->shortDemand : this->longDemand, now);
}

void DemandMonitor::recordLoad(std::span<const EngineCandidate> engines, TimePoint now)
{
    const double elapsed = Foundation::toSeconds(now - this->observedAt);
    this->observedAt = now;
    std::map<std::int64_t, std::int64_t> counts;
    for (const EngineCandidate& engine : engines) {
        for (const auto& [eventGapTargetMs, group] : engine.usage->streamsByGapMs)
            counts[eventGapTargetMs] += group.count;
    }
    for (const auto& [eventGapTargetMs, count] : counts)
        this->trendsByGapMs.try_emplace(eventGapTargetMs);
    for (auto& [eventGapTargetMs, trend] : this->trendsByGapMs) {
        const auto found = counts.find(eventGapTargetMs);
        const double count = found == counts.end() ? 0 : static_cast<double>(found->second);
        trend.fast += (count - trend.fast) * (1 - std::exp(-elapsed / fastSeconds));
        trend.slow += (count - trend.slow) * (1 - std::exp(-elapsed / slowSeconds));
    }
}

double DemandMonitor::expectedStreams(Duration eventGapTarget) const
{
    double streams = 0;
    for (const auto& [eventGapTargetMs, trend] : this->trendsByGapMs) {
        if (eventGapTargetMs < Foundation::toMilliseconds(eventGapTarget))
            streams += trend.fast + growthFactor * std::max(0.0, trend.fast - trend.slow);
    }
    return streams;
}

std::size_t DemandMonitor::enginesOpenToLongPrompts(Duration eventGapTarget, std::size_t engineCount, int slots) const
{
    const double streamsPerEngine = std::max(1.0, usableSlotFraction * slots);
    const auto needed = static_cast<std::size_t>(std::ceil(this->expectedStreams(eventGapTarget) / streamsPerEngine));
    const std::size_t guaranteed = std::max<std::size_t>(1, engineCount / guaranteedEngineInterval);
    return std::max(std::min(engineCount, guaranteed), engineCount - std::min(engineCount, needed));
}

} // namespace Placement
