#pragma once

#include <foundation/clock.h>
#include <placement/enginemodel.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/** A prompt that is run on simulated engines. */
struct SimulatedPrompt {
    std::int64_t promptTokens = 0;
    int events = 1;
    Foundation::Duration firstEventTarget {};
    Foundation::Duration eventGapTarget {};
    Foundation::TimePoint arrived {};
    /** The result of the simulation. */
    std::optional<Foundation::TimePoint> firstEvent;
    Foundation::TimePoint lastEvent {};
    Foundation::Duration longestGap {};
    bool isComplete = false;

    /** Returns whether the answer is complete, with the first event and all gaps within their targets. */
    bool meetsTargets() const
    {
        return this->isComplete && *this->firstEvent - this->arrived <= this->firstEventTarget
            && this->longestGap <= this->eventGapTarget;
    }
};

/**
 * Simulates model engines that prefill and decode in cycles, with the times of the engine model. An engine prefills
 * parts of the prompts of other engines before its own prompts, and a limited number of tokens in each cycle.
 */
class EngineFleet {
public:
    EngineFleet(const Placement::EngineModel& model, std::size_t engineCount);

    /** Dispatches a prompt to an engine and its prefill helpers. */
    void start(std::size_t prompt, SimulatedPrompt& simulated, std::size_t runner,
        const std::vector<std::size_t>& helpers, Foundation::TimePoint now);

    /** The prompts that had their first event, and those that ended, in a simulated time span. */
    struct Progress {
        std::vector<std::size_t> begun;
        std::vector<std::size_t> ended;
    };
    /** Simulates all cycles that end up to a time. */
    Progress advanceTo(Foundation::TimePoint until);

private:
    struct Part {
        std::size_t prompt = 0;
        Foundation::Duration time {};
        std::int64_t tokens = 0;
    };

    struct Engine {
        /** Parts of prompts that other engines run; they are prefilled first. */
        std::vector<Part> helping;
        /** Prompts that the engine itself runs, or its parts of them. */
        std::vector<Part> prefilling;
        /** Events left to send, by prompt. */
        std::map<std::size_t, int> decoding;
        std::vector<std::size_t> partsInCycle;
        Foundation::TimePoint cycleEnd {};
        bool isBusy = false;
    };

    struct RunningPrompt {
        SimulatedPrompt* simulated = nullptr;
        std::size_t runner = 0;
        std::size_t partsLeft = 0;
    };

    void beginCycle(Engine& engine, Foundation::TimePoint now);
    static Foundation::Duration prefill(Engine& engine, std::vector<Part>& parts, std::int64_t& tokenBudget);
    void endCycle(std::size_t index, Progress& progress);
    void decode(Engine& engine, Foundation::TimePoint now, Progress& progress);

    const Placement::EngineModel& model;
    std::vector<Engine> engines;
    std::map<std::size_t, RunningPrompt> runningPrompts;
};
