#pragma once

#include "arrivalestimator.h"
#include "enginemodel.h"
#include "upstreamusage.h"

#include <foundation/clock.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Placement {

/** The fraction of its weight that a request loses when it misses its target. */
constexpr double missedTargetPenalty = 0.75;

/** An engine that can run a prompt or prefill a part of one. */
struct EngineCandidate {
    /** The total usage of the engine by all processes; must outlive the planning. */
    const UpstreamUsage* usage = nullptr;
    /** The estimated prefill work that is queued or in progress. */
    Foundation::Duration remainingPrefill {};
    int slots = 1;
    /** Observed time divided by the time that the engine model predicts. */
    double slowdownFactor = 1;
    /** A random number in [0, 1), drawn for each decision. */
    double tieBreaker = 0;
    /** Whether the engine can run the request; otherwise it can only be a prefill helper. */
    bool canRun = true;
    /**
     * Whether this process can use the last slots of the engine. Otherwise all processes that see the same free slot at
     * the same moment would use it.
     */
    bool canUseLastSlots = true;
    /** Whether the engine can be a prefill helper. */
    bool canHelp = true;
    /** How much later than predicted short prompts got their first events there in the last few hundred ms. */
    Foundation::Duration delayCorrection {};
};

/** The dispatches of all gateways, for a decision about engines whose known load is out of date. */
struct CrowdExpectation {
    ArrivalEstimate arrivals;
    /** A number in [0, 1) that selects the engine; successive ones should be spread evenly. */
    double draw = 0;
};

/** The resources that a queued prompt needs, and its latency targets. */
struct PromptDemand {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /** The longest gap between events that the caller expects. */
    Foundation::Duration eventGapTarget {};
    /** The time left until the first-event target; negative once the target has passed. */
    Foundation::Duration timeToFirstEventTarget {};
    /** The value of the request relative to others. */
    double weight = 1;
    /** Whether load updates of most other processes are available. */
    bool isPeerLoadAvailable = true;
    /** Whether prompts may compete for insufficient capacity, so that scarce engines cost more. */
    bool isContended = false;
    /** None if short prompts are placed without regard to crowds. */
    std::optional<CrowdExpectation> crowd {};
    /** How many engines, at the end of the order, may run or prefill the prompt if it is long; none if all may. */
    std::optional<std::size_t> enginesOpenToLongPrompts {};
};

/** An engine that prefills a part of a prompt for the engine that runs it. */
struct PrefillHelper {
    /** Index into the candidates. */
    std::size_t index = 0;
    /** KV-cache memory that the helper reserves for the prompt, in tokens; 0 if it only prefills. */
    std::int64_t reservedTokens = 0;
};

/** The engines chosen for a prompt, with the predicted times and costs. */
struct PromptPlacement {
    /** Index into the candidates of the engine that runs the request. */
    std::size_t runnerIndex = 0;
    /** KV-cache memory that the request reserves on the engine that runs it, in tokens. */
    std::int64_t reservedTokens = 0;
    std::vector<PrefillHelper> helpers;
    /** The predicted time in which each engine prefills its part. */
    Foundation::Duration partPrefillTime {};
    /** The predicted time from now to the first event. */
    Foundation::Duration timeToFirstEvent {};
    /**
     * How much later the first event is expected for reasons that are only estimated. Kept apart, since a prompt is not
     * held back for them: waiting in the queue would not make its answer earlier.
     */
    Foundation::Duration estimatedDelay {};
    /** The longest prefill backlog that any of the engines has before this prompt. */
    Foundation::Duration prefillAhead {};
    /** The weight lost by streams in flight that the prefill delays past their event-gap targets. */
    double streamDelayCost = 0;
    /** The cost of occupying engines for so long that other requests cannot share them. */
    double occupancyCost = 0;
    /** Whether the engine was chosen by the expected dispatches of the other gateways. */
    bool isCrowdPlacement = false;
};

/** Returns the weight of a request, which grows with its prompt. */
double promptWeight(std::int64_t promptTokens);

/**
 * Chooses the engines of a prompt. Prefilling long prompts beside short ones would delay the streams of the short ones.
 * Therefore short prompts are packed onto the first engines, and long prompts are split evenly over as many of the
 * other engines as minimizes the delay of streams in flight. In a crowd, that is, when the other gateways are expected
 * to have dispatched much that is not reported yet, short prompts are spread instead (see chooseByStaleLoad()).
 * @param candidates the engines, in the same order in all processes.
 * @return the placement with the lowest cost; none if no engine has a free slot and enough memory.
 */
std::optional<PromptPlacement> placePrompt(
    const EngineModel& model, std::span<const EngineCandidate> candidates, const PromptDemand& demand);

/**
 * Returns the time to the first event if all engines were idle.
 * @param engineCount the number of engines that can prefill.
 */
Foundation::Duration minimumTimeToFirstEvent(
    const EngineModel& model, std::int64_t promptTokens, std::size_t engineCount);

/** Returns whether the prompt is so short that any engine can prefill it beside streams. */
bool isShortPrompt(const EngineModel& model, const PromptDemand& demand);

/** Returns whether the prompt runs among the short ones. Other prompts are long. */
bool isPackedPrompt(const EngineModel& model, const PromptDemand& demand);

} // namespace Placement
