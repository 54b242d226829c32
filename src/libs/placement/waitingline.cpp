#include "waitingline.h"

#include <algorithm>
#include <tuple>

namespace Placement {

namespace {

using Foundation::Duration;
using Foundation::ResultCode;
using Foundation::TimePoint;

// A prompt whose goal is nearer than this is not held back any longer.
constexpr Duration decisionSlack = std::chrono::milliseconds(60);
// Reading that may be ahead of a prompt at its engines. More is kept here, where a more urgent prompt can still pass.
constexpr Duration readAheadLimit = std::chrono::milliseconds(400);
// Harm below this part of a prompt's weight is no reason to wait.
constexpr double harmless = 0.05;
// Short prompts do little harm each, and have little time to wait.
constexpr double harmOfShort = 0.5;
// The least time to come back after, so that callers do not turn around at once.
constexpr Duration leastRetryAfter = std::chrono::milliseconds(200);
// Prompts that one review looks at; the others wait for the next.
constexpr std::size_t reviewLimit = 64;
// First events usually come later than the fastest possible by this factor. A prompt with less time left gives way.
constexpr double usualDelay = 1.4;
// The engines also write while they read, which takes about this part of their time.
constexpr double readingEfficiency = 0.75;

Duration scaled(Duration duration, double factor)
{
    return Foundation::fromSeconds(Foundation::toSeconds(duration) * factor);
}

} // namespace

WaitingLine::WaitingLine(EngineModel model)
    : engines(model)
{
}

void WaitingLine::add(WaitingPrompt prompt)
{
    const auto place = std::ranges::find_if(
        this->prompts, [&](const WaitingPrompt& other) { return this->comesBefore(prompt, other); });
    this->prompts.insert(place, std::move(prompt));
}

void WaitingLine::remove(WaitingId id)
{
    std::erase_if(this->prompts, [id](const WaitingPrompt& prompt) { return prompt.id == id; });
}

bool WaitingLine::comesBefore(const WaitingPrompt& a, const WaitingPrompt& b) const
{
    const auto key = [this](const WaitingPrompt& prompt) {
        return std::tuple(prompt.priority, !isShort(this->engines, prompt.demand), prompt.goalAt);
    };
    return key(a) < key(b);
}

WaitingLine::Verdict WaitingLine::judge(
    const WaitingPrompt& prompt, const PromptPlacement& placement, Duration fastest) const
{
    const double weight = prompt.demand.weight;
    const bool isInTime = placement.firstEvent <= prompt.demand.goalLeft;
    const double limit = isShort(this->engines, prompt.demand) ? harmOfShort : harmless;
    if (isInTime && placement.harm <= limit * weight && placement.readingAhead <= readAheadLimit)
        return Verdict::Run;
    // Engines may become free in time for a better place.
    if (prompt.demand.goalLeft > fastest + decisionSlack)
        return Verdict::Wait;
    return placement.harm + placement.blocking <= (isInTime ? lateLoss : 1 - lateLoss) * weight ? Verdict::Run
                                                                                                : Verdict::Wait;
}

void WaitingLine::review(TimePoint now, std::size_t engineCount, const WaitingLineOwner& owner)
{
    std::vector<WaitingPrompt> snapshot(this->prompts.begin(),
        this->prompts.begin() + static_cast<std::ptrdiff_t>(std::min(reviewLimit, this->prompts.size())));
    // What is late already must not make the others late.
    std::stable_partition(snapshot.begin(), snapshot.end(), [&](const WaitingPrompt& prompt) {
        const Duration fastest = fastestFirstEvent(this->engines, prompt.demand.promptTokens, engineCount);
        return prompt.goalAt - now > scaled(fastest, usualDelay);
    });
    Duration ahead {};
    const double engineShare = 1 / (readingEfficiency * static_cast<double>(std::max<std::size_t>(1, engineCount)));
    for (WaitingPrompt prompt : snapshot) {
        prompt.demand.goalLeft = prompt.goalAt - now;
        const Duration reading = this->engines.readingTime(prompt.demand.promptTokens);
        const Duration wait = scaled(ahead + reading, engineShare);
        const Duration comeBackAfter = std::max(leastRetryAfter, wait);
        if (engineCount == 0 || now + wait > prompt.patienceEnd) {
            this->remove(prompt.id);
            const ResultCode code = engineCount == 0 ? ResultCode::NoUpstream : ResultCode::DeadlineUnreachable;
            owner.refuse(prompt.id, code, comeBackAfter);
            continue;
        }
        const Duration fastest = fastestFirstEvent(this->engines, prompt.demand.promptTokens, engineCount);
        const auto placement = owner.place(prompt);
        if (placement && this->judge(prompt, *placement, fastest) == Verdict::Run) {
            this->remove(prompt.id);
            owner.dispatch(prompt.id, *placement);
            continue;
        }
        if (prompt.demand.goalLeft + prompt.lateWait < fastest) {
            // It is late and would hold up more than it is worth; its caller had better know now. No place turned up
            // within its goal, so it is not worth coming back much sooner.
            this->remove(prompt.id);
            owner.refuse(prompt.id, ResultCode::DeadlineUnreachable, std::max(comeBackAfter, prompt.goal));
            continue;
        }
        ahead += reading;
    }
}

} // namespace Placement
