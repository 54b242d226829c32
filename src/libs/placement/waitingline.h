#pragma once

#include "placementplanner.h"

#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Placement {

using WaitingId = std::uint64_t;

/** A prompt that waits for engines. */
struct WaitingPrompt {
    WaitingId id = 0;
    PromptDemand demand;
    /** When the first event becomes late. */
    Foundation::TimePoint goalAt {};
    /** When the caller stops waiting for the first event. */
    Foundation::TimePoint patienceEnd {};
    /** The time to the first event that the caller expects. */
    Foundation::Duration goal {};
    /** How long the prompt may wait on after it can no longer be in time. */
    Foundation::Duration lateWait {};
    /** 0 is the most urgent. */
    int priority = 0;
};

/** What the line needs of its owner. Each call happens within WaitingLine::review(). */
struct WaitingLineOwner {
    /** Places a prompt by the load of this moment; none if there is no room. */
    std::function<std::optional<PromptPlacement>(const WaitingPrompt&)> place;
    /** Hands a prompt over; its load counts from now on. */
    std::function<void(WaitingId, const PromptPlacement&)> dispatch;
    /** Refuses a prompt that has not run, with the time after which the caller may come back. */
    std::function<void(WaitingId, Foundation::ResultCode, Foundation::Duration)> refuse;
};

/**
 * The prompts of one service that wait for engines. Answers the load of more long prompts than can be read beside the
 * streams under way: short prompts go first, long ones in the order of their goals. A prompt whose reading would hold
 * streams up waits while it can still be in time; then it runs if that is worth more than what it holds up. What can
 * no longer be answered while its caller waits is refused at once.
 */
class WaitingLine {
public:
    explicit WaitingLine(EngineModel model);

    void add(WaitingPrompt prompt);

    /** Takes a prompt out whose caller has gone. */
    void remove(WaitingId id);

    /**
     * Decides for each waiting prompt whether it runs, waits or is refused.
     * @param now the time.
     * @param engineCount the engines that may read.
     * @param owner carries the decisions out.
     */
    void review(Foundation::TimePoint now, std::size_t engineCount, const WaitingLineOwner& owner);

    std::size_t size() const { return this->prompts.size(); }
    const EngineModel& model() const { return this->engines; }

private:
    enum class Verdict : std::uint8_t { Run, Wait };

    Verdict judge(const WaitingPrompt& prompt, const PromptPlacement& placement, Foundation::Duration fastest) const;
    bool comesBefore(const WaitingPrompt& a, const WaitingPrompt& b) const;

    EngineModel engines;
    std::vector<WaitingPrompt> prompts;
};

} // namespace Placement
