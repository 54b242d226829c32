#pragma once

#include "enginemodel.h"
#include "placementplanner.h"

#include <foundation/clock.h>

#include <cstdint>
#include <span>
#include <vector>

namespace Placement {

/**
 * Estimates when engines will have worked off what is ahead of a waiting long prompt, and so whether its first event
 * can still come in time.
 *
 * Handles long prompts that arrive faster than they can be prefilled: without the estimate each is held until its
 * target has nearly passed, and refused when its caller has no time left for a retry. Not used for prompts that run
 * among the short ones; they are worth serving late and need little room.
 */
class ProspectEstimator {
public:
    /**
     * @param model must outlive the estimator.
     * @param engines the engines with their present load; those that are open to long prompts come last.
     * @param openEngineCount how many engines are open to long prompts.
     * @param gatewayCount how many gateways hold prompts for these engines.
     */
    ProspectEstimator(const EngineModel& model, std::span<const EngineCandidate> engines, std::size_t openEngineCount,
        std::size_t gatewayCount);

    /**
     * Returns the time from now to the first event that can be expected at best: after the prefill work ahead, on the
     * open engines with the shortest backlogs, once memory for the prompt is free.
     * @param queuedPrefill the prefill work ahead of the prompt in the queue of this process.
     */
    Foundation::Duration expectedFirstEvent(const PromptDemand& demand, Foundation::Duration queuedPrefill) const;

private:
    /** Returns when the prompt would be prefilled, split over the number of engines that is best for it. */
    Foundation::Duration bestPrefillEnd(const PromptDemand& demand) const;
    Foundation::Duration memoryWait(const PromptDemand& demand) const;

    const EngineModel& model;
    std::size_t gatewayCount = 1;
    /** The prefill work left at each open engine, in ascending order. */
    std::vector<Foundation::Duration> backlogs;
    std::int64_t freeTokens = 0;
    std::int64_t reservedTokens = 0;
};

} // namespace Placement
