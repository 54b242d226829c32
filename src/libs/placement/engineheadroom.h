#pragma once

#include "placementplanner.h"

#include <cstddef>
#include <span>
#include <vector>

namespace Placement {

/**
 * Limits how many engines long prompts occupy at the same time, so that short prompts find engines without a backlog.
 *
 * Answers the load of demand that turns from long prompts to short ones within seconds: three long prompts that are
 * split over most of the engines leave a burst of short prompts so few of them that it queues for slots.
 */
class EngineHeadroom {
public:
    /** Without a limit. */
    EngineHeadroom() = default;

    /**
     * The headroom for the short streams in flight.
     * @param engines must outlive the headroom.
     * @param backlogsMs the prefill backlog of each engine; must outlive the headroom.
     * @param eventGapTarget the target of the long prompt; streams with a shorter one are short.
     */
    EngineHeadroom(std::span<const EngineCandidate> engines, std::span<const double> backlogsMs,
        Foundation::Duration eventGapTarget);

    /** Returns whether a long prompt may occupy the engines of a placement. */
    bool allows(const PromptPlacement& placement) const;

private:
    std::span<const double> backlogsMs;
    std::size_t occupiedEngines = 0;
    /** How many engines may be occupied. */
    std::size_t limit = 0;
};

} // namespace Placement
