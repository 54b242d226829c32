#pragma once

#include "enginemodel.h"
#include "placementplanner.h"

#include <foundation/clock.h>

#include <cstdint>
#include <map>
#include <span>

namespace Placement {

/**
 * Observes the demand of one service over all gateways and derives how many engines are open to long prompts.
 *
 * Handles demand that turns from many short prompts to many long ones and back within ten seconds. While long prompts
 * are prefilled on all engines, the streams that a burst of short prompts brings find no engine without a backlog.
 * The monitor follows the streams in flight, which the load updates of all gateways list, and extrapolates their
 * growth by the time that a stream takes, so that engines become free of long prefill before the streams arrive.
 */
class DemandMonitor {
public:
    /** Adds the prefill time of a prompt that arrived at this process. */
    void recordArrival(Foundation::Duration prefillTime, bool isShort, Foundation::TimePoint now);

    /** Records the load of all engines, as the load updates of all gateways give it. */
    void recordLoad(std::span<const EngineCandidate> engines, Foundation::TimePoint now);

    /** Returns the prefill time per second that arriving prompts demand at this process, in seconds per second. */
    double prefillDemand(bool isShort, Foundation::TimePoint now) const;

    /** Returns how many streams with a shorter event-gap target are to be expected. */
    double expectedStreams(Foundation::Duration eventGapTarget) const;

    /**
     * Returns how many engines, at the end of the order, are open to a long prompt; the others are needed for streams
     * with a shorter event-gap target. Never less than the share that is always left to long prompts.
     */
    std::size_t enginesOpenToLongPrompts(Foundation::Duration eventGapTarget, std::size_t engineCount, int slots) const;

private:
    struct Rate {
        double perSecond = 0;
        Foundation::TimePoint updatedAt {};
    };

    /** Moving averages of the number of streams with one event-gap target. */
    struct StreamTrend {
        double fast = 0;
        double slow = 0;
    };

    static double decayed(const Rate& rate, Foundation::TimePoint now);

    Rate shortDemand;
    Rate longDemand;
    std::map<std::int64_t, StreamTrend> trendsByGapMs;
    Foundation::TimePoint observedAt {};
};

} // namespace Placement
