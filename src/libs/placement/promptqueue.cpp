#include "promptqueue.h"

#include <algorithm>
#include <tuple>

namespace Placement {

namespace {

using Foundation::Duration;
using Foundation::ResultCode;
using Foundation::TimePoint;

// A prompt whose first-event target is closer than this does not wait for a better placement.
constexpr Duration decisionMargin = std::chrono::milliseconds(60);
// Prefill backlog that a dispatched prompt may have before it at its engines. With a longer backlog it stays queued
// here, where a more urgent prompt can still overtake it.
constexpr Duration prefillAheadLimit = std::chrono::milliseconds(400);
// Stream delay cost, as a fraction of the prompt's weight, up to which a prompt is dispatched without waiting.
constexpr double tolerableDelayCost = 0.05;
// The same for short prompts, each of which delays streams little and has little time to wait.
constexpr double tolerableDelayCostOfShort = 0.5;
// Lower limit of the retry delay, so that callers do not retry at once.
constexpr Duration minimumRetryAfter = std::chrono::milliseconds(200);
// The maximum number of prompts that are considered in one call; the others wait for the next call.
constexpr std::size_t batchLimit = 64;
// The usual time to the first event divided by the shortest possible one. Prompts with less time left go behind the
// others.
constexpr double usualDelayFactor = 1.4;
// The fraction of their time that engines spend on prefill; they also decode meanwhile.
constexpr double prefillTimeFraction = 0.75;
// A placement is taken while the target is still so many times its predicted time to the first event away. The margin
// is for predictions that are a little too short.
constexpr double lastPlacementFactor = 1.15;

// An engine may take twice as long as expected, but a longer delay is spread over more work and is estimated better.
constexpr Duration firstEventUncertainty = std::chrono::milliseconds(100);

Duration latestFirstEvent(const PromptPlacement& placement)
{
    return placement.timeToFirstEvent + std::min(placement.timeToFirstEvent, firstEventUncertainty);
}

Duration scaled(Duration duration, double factor)
{
    return Foundation::fromSeconds(Foundation::toSeconds(duration) * factor);
}

} // namespace

PromptQueue::PromptQueue(EngineModel model)
    : engineModel(model)
{
}

void PromptQueue::add(QueuedPrompt prompt)
{
    const auto position
        = std::ranges::find_if(this->prompts, [&](const QueuedPrompt& other) { return this->precedes(prompt, other); });
    this->prompts.insert(position, std::move(prompt));
}

void PromptQueue::remove(QueuedPromptId id)
{
    std::erase_if(this->prompts, [id](const QueuedPrompt& prompt) { return prompt.id == id; });
}

bool PromptQueue::precedes(const QueuedPrompt& a, const QueuedPrompt& b) const
{
    const auto key = [this](const QueuedPrompt& prompt) {
        return std::tuple(!prompt.hasBegun, prompt.priority, !isShortPrompt(this->engineModel, prompt.demand),
            prompt.firstEventTargetAt);
    };
    return key(a) < key(b);
}

PromptQueue::Decision PromptQueue::decide(
    const QueuedPrompt& prompt, const PromptPlacement& placement, Duration fastest, bool isContended) const
{
    if (prompt.hasBegun)
        return Decision::Dispatch;
    const double weight = prompt.demand.weight;
    const bool meetsTarget = placement.timeToFirstEvent <= prompt.demand.timeToFirstEventTarget;
    const double tolerableFraction
        = isShortPrompt(this->engineModel, prompt.demand) ? tolerableDelayCostOfShort : tolerableDelayCost;
    if (meetsTarget && placement.streamDelayCost <= tolerableFraction * weight
        && placement.prefillAhead <= prefillAheadLimit)
        return Decision::Dispatch;
    // Engines may become free for a better placement before the target passes. While prompts compete they rarely become
    // idle all at once, so a prompt waits only as long as the placement that it has now still meets the target.
    const Duration needed
        = isContended && meetsTarget ? scaled(placement.timeToFirstEvent, lastPlacementFactor) : fastest;
    if (prompt.demand.timeToFirstEventTarget > needed + decisionMargin)
        return Decision::Wait;
    return placement.streamDelayCost + placement.occupancyCost
            <= (meetsTarget ? missedTargetPenalty : 1 - missedTargetPenalty) * weight
        ? Decision::Dispatch
        : Decision::Wait;
}

void PromptQueue::schedule(TimePoint now, std::size_t engineCount, const PromptQueueActions& actions)
{
    std::vector<QueuedPrompt> batch(this->prompts.begin(),
        this->prompts.begin() + static_cast<std::ptrdiff_t>(std::min(batchLimit, this->prompts.size())));
    // Prompts that will miss their target anyway must not make others miss theirs.
    std::stable_partition(batch.begin(), batch.end(), [&](const QueuedPrompt& prompt) {
        const Duration fastest = minimumTimeToFirstEvent(this->engineModel, prompt.demand.promptTokens, engineCount);
        return prompt.hasBegun || prompt.firstEventTargetAt - now > scaled(fastest, usualDelayFactor);
    });
    Duration queuedPrefill {};
    const double queueTimeFactor
        = 1 / (prefillTimeFraction * static_cast<double>(std::max<std::size_t>(1, engineCount)));
    for (QueuedPrompt prompt : batch) {
        prompt.demand.timeToFirstEventTarget = prompt.firstEventTargetAt - now;
        const Duration prefill = this->engineModel.prefillTime(prompt.demand.promptTokens);
        const Duration wait = scaled(queuedPrefill + prefill, queueTimeFactor);
        const Duration retryAfter = std::max(minimumRetryAfter, wait);
        if (engineCount == 0 || now + wait > prompt.callerTimeoutAt) {
            this->remove(prompt.id);
            const ResultCode code = engineCount == 0 ? ResultCode::NoUpstream : ResultCode::DeadlineUnreachable;
            actions.refuse(prompt.id, code, retryAfter);
            continue;
        }
        const Duration fastest = minimumTimeToFirstEvent(this->engineModel, prompt.demand.promptTokens, engineCount);
        const auto placement = actions.place(prompt);
        // A stream that has begun is sent also late, since a refusal would cut it.
        const bool isInTime
            = placement && (prompt.hasBegun || now + latestFirstEvent(*placement) <= prompt.callerTimeoutAt);
        if (isInTime && this->decide(prompt, *placement, fastest, actions.isContended) == Decision::Dispatch) {
            this->remove(prompt.id);
            actions.dispatch(prompt.id, *placement);
            continue;
        }
        const bool isTooLate = placement && !isInTime && prompt.demand.timeToFirstEventTarget <= Duration::zero();
        if (isTooLate || prompt.demand.timeToFirstEventTarget + prompt.maximumWaitPastTarget < fastest) {
            // The prompt can no longer meet its target, and no engine has room for it at an acceptable cost. An early
            // refusal spares the caller a useless wait. No placement was found within the target, so a retry much
            // sooner than that is unlikely to succeed.
            this->remove(prompt.id);
            actions.refuse(prompt.id, ResultCode::DeadlineUnreachable, std::max(retryAfter, prompt.firstEventTarget));
            continue;
        }
        if (this->refuseWithoutProspect(prompt, now, queuedPrefill, actions))
            continue;
        queuedPrefill += prefill;
    }
}

bool PromptQueue::refuseWithoutProspect(
    const QueuedPrompt& prompt, TimePoint now, Duration queuedPrefill, const PromptQueueActions& actions)
{
    if (!actions.expectedFirstEvent || prompt.hasBegun || isPackedPrompt(this->engineModel, prompt.demand))
        return false;
    const Duration expected = actions.expectedFirstEvent(prompt, queuedPrefill);
    const TimePoint lastUsefulAt
        = std::min(prompt.callerTimeoutAt, prompt.firstEventTargetAt + prompt.maximumWaitPastTarget);
    if (now + expected <= lastUsefulAt)
        return false;
    this->remove(prompt.id);
    if (actions.onRefusedEarly)
        actions.onRefusedEarly(prompt, expected);
    actions.refuse(prompt.id, ResultCode::DeadlineUnreachable, std::max(minimumRetryAfter, expected));
    return true;
}

} // namespace Placement
