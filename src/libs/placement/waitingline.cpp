#include "waitingline.h"

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

Duration scaled(Duration duration, double factor)
{
    return Foundation::fromSeconds(Foundation::toSeconds(duration) * factor);
}

} // namespace

WaitingLine::WaitingLine(EngineModel model)
    : engineModel(model)
{
}

void WaitingLine::add(WaitingPrompt prompt)
{
    const auto position = std::ranges::find_if(
        this->prompts, [&](const WaitingPrompt& other) { return this->precedes(prompt, other); });
    this->prompts.insert(position, std::move(prompt));
}

void WaitingLine::remove(WaitingId id)
{
    std::erase_if(this->prompts, [id](const WaitingPrompt& prompt) { return prompt.id == id; });
}

bool WaitingLine::precedes(const WaitingPrompt& a, const WaitingPrompt& b) const
{
    const auto key = [this](const WaitingPrompt& prompt) {
        return std::tuple(prompt.priority, !isShort(this->engineModel, prompt.demand), prompt.goalAt);
    };
    return key(a) < key(b);
}

WaitingLine::Decision WaitingLine::decide(
    const WaitingPrompt& prompt, const PromptPlacement& placement, Duration fastest) const
{
    const double weight = prompt.demand.weight;
    const bool meetsTarget = placement.firstEvent <= prompt.demand.goalLeft;
    const double tolerableFraction
        = isShort(this->engineModel, prompt.demand) ? tolerableDelayCostOfShort : tolerableDelayCost;
    if (meetsTarget && placement.harm <= tolerableFraction * weight && placement.readingAhead <= prefillAheadLimit)
        return Decision::Dispatch;
    // Engines may become free for a better placement before the target passes.
    if (prompt.demand.goalLeft > fastest + decisionMargin)
        return Decision::Wait;
    return placement.harm + placement.blocking <= (meetsTarget ? lateLoss : 1 - lateLoss) * weight ? Decision::Dispatch
                                                                                                   : Decision::Wait;
}

void WaitingLine::review(TimePoint now, std::size_t engineCount, const WaitingLineOwner& actions)
{
    std::vector<WaitingPrompt> batch(this->prompts.begin(),
        this->prompts.begin() + static_cast<std::ptrdiff_t>(std::min(batchLimit, this->prompts.size())));
    // Prompts that will miss their target anyway must not make others miss theirs.
    std::stable_partition(batch.begin(), batch.end(), [&](const WaitingPrompt& prompt) {
        const Duration fastest = fastestFirstEvent(this->engineModel, prompt.demand.promptTokens, engineCount);
        return prompt.goalAt - now > scaled(fastest, usualDelayFactor);
    });
    Duration queuedPrefill {};
    const double queueTimeFactor
        = 1 / (prefillTimeFraction * static_cast<double>(std::max<std::size_t>(1, engineCount)));
    for (WaitingPrompt prompt : batch) {
        prompt.demand.goalLeft = prompt.goalAt - now;
        const Duration prefill = this->engineModel.readingTime(prompt.demand.promptTokens);
        const Duration wait = scaled(queuedPrefill + prefill, queueTimeFactor);
        const Duration retryAfter = std::max(minimumRetryAfter, wait);
        if (engineCount == 0 || now + wait > prompt.patienceEnd) {
            this->remove(prompt.id);
            const ResultCode code = engineCount == 0 ? ResultCode::NoUpstream : ResultCode::DeadlineUnreachable;
            actions.refuse(prompt.id, code, retryAfter);
            continue;
        }
        const Duration fastest = fastestFirstEvent(this->engineModel, prompt.demand.promptTokens, engineCount);
        const auto placement = actions.place(prompt);
        if (placement && this->decide(prompt, *placement, fastest) == Decision::Dispatch) {
            this->remove(prompt.id);
            actions.dispatch(prompt.id, *placement);
            continue;
        }
        if (prompt.demand.goalLeft + prompt.lateWait < fastest) {
            // The prompt can no longer meet its target, and no placement is worth its cost; an early refusal spares the
            // caller a useless wait. No placement was found within the target, so a retry much sooner is unlikely to
            // succeed.
            this->remove(prompt.id);
            actions.refuse(prompt.id, ResultCode::DeadlineUnreachable, std::max(retryAfter, prompt.goal));
            continue;
        }
        queuedPrefill += prefill;
    }
}

} // namespace Placement
