#pragma once

#include "placementplanner.h"

#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace Placement {

using QueuedPromptId = std::uint64_t;

/** A prompt that waits for engines. */
struct QueuedPrompt {
    QueuedPromptId id = 0;
    PromptDemand demand;
    /** When the first-event target passes. */
    Foundation::TimePoint firstEventTargetAt {};
    /** When the caller stops waiting for the first event. */
    Foundation::TimePoint callerTimeoutAt {};
    /** The time to the first event that the caller expects. */
    Foundation::Duration firstEventTarget {};
    /** How long the prompt can stay queued after it can no longer meet its first-event target. */
    Foundation::Duration maximumWaitPastTarget {};
    /** 0 is the most urgent. */
    int priority = 0;
    /** Whether the caller has received a part of the answer, so that a refusal would break the answer off. */
    bool hasBegun = false;
};

/** Callbacks that place, dispatch and refuse prompts. The queue calls them only while it schedules. */
struct PromptQueueActions {
    /** Plans the placement under the current load; none if no engine has room. */
    std::function<std::optional<PromptPlacement>(const QueuedPrompt&)> place;
    /** Dispatches a prompt; its load counts from now on. */
    std::function<void(QueuedPromptId, const PromptPlacement&)> dispatch;
    /** Refuses a prompt that has not run. The duration is the time after which the caller may retry. */
    std::function<void(QueuedPromptId, Foundation::ResultCode, Foundation::Duration)> refuse;
    /**
     * Returns the time to the first event that a long prompt which waits behind this much prefill work can expect at
     * best; empty while the contention policy is not active.
     */
    std::function<Foundation::Duration(const QueuedPrompt&, Foundation::Duration)> expectedFirstEvent = {};
    /** Called before a prompt is refused because of that time. */
    std::function<void(const QueuedPrompt&, Foundation::Duration)> onRefusedEarly = {};
    /** Whether prompts may compete for insufficient capacity. */
    bool isContended = false;
};

/**
 * The prompts of one service that wait for engines.
 *
 * Orders them when there are more long prompts than can be prefilled beside the streams in flight: short prompts go
 * first, long ones follow by first-event target. A prompt whose prefill would delay streams waits as long as it can
 * still meet its target; then it is dispatched if its weight exceeds the cost of the delay. A prompt that cannot be
 * answered before its caller times out is refused at once; under the contention policy also a long prompt for which no
 * first event in time can be expected. A prompt whose answer has begun goes before all others and
 * is dispatched as soon as an engine has room.
 */
class PromptQueue {
public:
    explicit PromptQueue(EngineModel model);

    void add(QueuedPrompt prompt);

    /** Removes a prompt whose caller has disconnected. */
    void remove(QueuedPromptId id);

    /**
     * Decides for each queued prompt whether it is dispatched, waits or is refused.
     * @param engineCount the number of engines that can prefill.
     */
    void schedule(Foundation::TimePoint now, std::size_t engineCount, const PromptQueueActions& actions);

    std::size_t size() const { return this->prompts.size(); }
    const EngineModel& model() const { return this->engineModel; }

private:
    enum class Decision : std::uint8_t { Dispatch, Wait };

    Decision decide(const QueuedPrompt& prompt, const PromptPlacement& placement, Foundation::Duration fastest,
        bool isContended) const;
    bool precedes(const QueuedPrompt& a, const QueuedPrompt& b) const;
    /** Refuses a long prompt whose first event cannot be expected in time. @return whether it was refused. */
    bool refuseWithoutProspect(const QueuedPrompt& prompt, Foundation::TimePoint now,
        Foundation::Duration queuedPrefill, const PromptQueueActions& actions);

    EngineModel engineModel;
    std::vector<QueuedPrompt> prompts;
};

} // namespace Placement
