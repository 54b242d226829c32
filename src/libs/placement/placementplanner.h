#pragma once

#include "enginemodel.h"
#include "upstreamshare.h"

#include <foundation/clock.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Placement {

/** The part of its worth that an answer loses to its caller when it comes after its goal. */
constexpr double lateLoss = 0.75;

/** An engine that may take a prompt, or a part of one to read. */
struct EngineCandidate {
    /** What all processes have under way there; must outlive the planning. */
    const UpstreamShare* load = nullptr;
    /** Reading that is left there. */
    Foundation::Duration readingLeft {};
    int slots = 1;
    /** How many times longer than the model says the engine takes. */
    double slowness = 1;
    /** A number in [0, 1) drawn for this decision. */
    double chance = 0;
    /** Whether the engine may run the request; otherwise it may only help to read. */
    bool mayRun = true;
    /**
     * Whether this process may use the last slots of the engine. If all processes could, those that see the same free
     * slot at the same moment would all take it.
     */
    bool mayFill = true;
    /** Whether the engine may help others to read. */
    bool mayHelp = true;
};

/** What is known of a prompt that waits for an engine. */
struct PromptDemand {
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /** The longest pause that the caller expects. */
    Foundation::Duration gap {};
    /** The time left until the first event is late; negative if it is. */
    Foundation::Duration goalLeft {};
    /** What the request is worth beside others. */
    double weight = 1;
    /** Whether what most other processes have under way is known. */
    bool isLoadKnown = true;
};

/** An engine that helps to read a prompt. */
struct PlacedHelper {
    /** The index of the candidate. */
    std::size_t index = 0;
    /** Memory that it holds for the prompt; 0 if it only reads. */
    std::int64_t heldTokens = 0;
};

struct PromptPlacement {
    /** The index of the candidate that runs the request. */
    std::size_t upstream = 0;
    /** Memory that the request takes there. */
    std::int64_t tokens = 0;
    std::vector<PlacedHelper> helpers;
    /** The time that each of them reads. */
    Foundation::Duration partTime {};
    Foundation::Duration firstEvent {};
    /** The longest reading that is ahead of this one at any of the engines. */
    Foundation::Duration readingAhead {};
    /** What the streams are worth that the reading would hold up for longer than their callers expect. */
    double harm = 0;
    /** What it costs others that the engines are busy for long. */
    double blocking = 0;
};

/**
 * Gives the weight of a prompt beside others.
 * @param promptTokens the prompt's tokens.
 */
double weightOf(std::int64_t promptTokens);

/**
 * Places a prompt. Answers the load of short prompts that must not be held up by long ones read beside them: short
 * prompts are packed onto the first engines, long ones are read in even parts by as many of the others as keeps the
 * harm to streams under way least.
 * @param model the engines' model.
 * @param candidates the engines, in an order that all processes share.
 * @param demand the prompt.
 * @return the best placement; none if no engine has a free slot and the memory.
 */
std::optional<PromptPlacement> placePrompt(
    const EngineModel& model, std::span<const EngineCandidate> candidates, const PromptDemand& demand);

/**
 * Tells how soon a prompt could have its first event if all engines were free.
 * @param engineCount the engines that may read.
 */
Foundation::Duration fastestFirstEvent(const EngineModel& model, std::int64_t promptTokens, std::size_t engineCount);

/** @return whether a prompt is so short that any engine may read it beside streams. */
bool isShort(const EngineModel& model, const PromptDemand& demand);

} // namespace Placement
