#include "occupancyprice.h"

#include <algorithm>

namespace Placement {

namespace {

// Prefill that occupies an engine for longer than the tolerated time keeps other requests from sharing the engine. Each
// further second adds a cost.
constexpr double toleratedMs = 600;
constexpr double costPerSecond = 2;
// The same where no engine is left: about the time after which a short prompt behind the prefill misses its target, and
// about the weight of the short prompts that an engine answers in a second.
constexpr double toleratedMsIfScarce = 200;
constexpr double costPerSecondIfScarce = 6;
// A backlog longer than this keeps short prompts from an engine: half of the usual target of short prompts.
constexpr double occupiedBacklogMs = 150;
// The fraction of its slots with which an engine counts as used: more streams would delay each other.
constexpr double usedSlotFraction = 0.6;
// Engines are scarce from this used fraction on: the rest is what a burst of short prompts to one and a half times
// their streams needs.
constexpr double scarceFraction = 0.6;

} // namespace

OccupancyPrice::OccupancyPrice(std::span<const EngineCandidate> engines, std::span<const double> backlogsMs)
{
    double used = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        const double usedSlots
            = static_cast<double>(engines[i].usage->requests) / (usedSlotFraction * engines[i].slots);
        used += backlogsMs[i] > occupiedBacklogMs ? 1 : std::min(1.0, usedSlots);
    }
    const double usedFraction = engines.empty() ? 0 : used / static_cast<double>(engines.size());
    this->engineScarcity = std::clamp((usedFraction - scarceFraction) / (1 - scarceFraction), 0.0, 1.0);
}

double OccupancyPrice::cost(double backlogMs, double prefillMs) const
{
    const double tolerated = toleratedMs + this->engineScarcity * (toleratedMsIfScarce - toleratedMs);
    const double perSecond = costPerSecond + this->engineScarcity * (costPerSecondIfScarce - costPerSecond);
    return perSecond * std::max(0.0, backlogMs + prefillMs - std::max(backlogMs, tolerated)) / 1e3;
}

} // namespace Placement
