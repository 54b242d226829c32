#include "engineheadroom.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

// An engine with a longer prefill backlog keeps short prompts away: half of their usual target.
constexpr double occupiedBacklogMs = 150;
// The fraction of its slots that an engine has streams for in the mean; more would leave no room for bursts.
constexpr double meanSlotFraction = 0.6;
// Engines are kept for so many times the short streams in flight, since a burst comes faster than prefill ends.
constexpr double streamHeadroom = 1.5;
// The rest is always left to long prompts, so that short ones do not starve them.
constexpr double maximumShortFraction = 0.75;

} // namespace

EngineHeadroom::EngineHeadroom(
    std::span<const EngineCandidate> engines, std::span<const double> backlogsMs, Foundation::Duration eventGapTarget)
    : backlogsMs(backlogsMs)
{
    const std::int64_t gapMs = Foundation::toMilliseconds(eventGapTarget);
    std::int64_t shortStreams = 0;
    for (const EngineCandidate& engine : engines) {
        for (const auto& [streamGapMs, group] : engine.usage->streamsByGapMs)
            shortStreams += streamGapMs < gapMs ? group.count : 0;
    }
    const double count = static_cast<double>(engines.size());
    const double slots = engines.empty() ? 1 : std::max(1, engines.front().slots);
    const double needed
        = std::ceil(streamHeadroom * static_cast<double>(shortStreams) / (meanSlotFraction * slots)) + 1;
    this->limit = engines.size() - static_cast<std::size_t>(std::min(maximumShortFraction * count, needed));
    this->occupiedEngines = static_cast<std::size_t>(
        std::ranges::count_if(backlogsMs, [](double backlogMs) { return backlogMs > occupiedBacklogMs; }));
}

bool EngineHeadroom::allows(const PromptPlacement& placement) const
{
    if (this->backlogsMs.empty() || Foundation::toSeconds(placement.partPrefillTime) * 1e3 <= occupiedBacklogMs)
        return true;
    std::size_t added = this->backlogsMs[placement.runnerIndex] > occupiedBacklogMs ? 0 : 1;
    for (const PrefillHelper& helper : placement.helpers)
        added += this->backlogsMs[helper.index] > occupiedBacklogMs ? 0 : 1;
    return added == 0 || this->occupiedEngines + added <= this->limit;
}

} // namespace Placement
