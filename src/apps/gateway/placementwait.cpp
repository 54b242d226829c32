#include "placementwait.h"

#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::ResultCode;
using Foundation::TimePoint;

} // namespace

PlacementWait::PlacementWait(ProxyContext& context, Handlers handlers)
    : context(context)
    , handlers(std::move(handlers))
{
}

void PlacementWait::begin()
{
    this->nextPermitRequestAt.reset();
    PendingPrompt pending = this->handlers.describe();
    const std::vector<std::string> limited = this->context.dispatcher.upstreamsThatNeedPermits(pending.criteria);
    if (limited.empty())
        this->assign(std::move(pending));
    else
        this->requestPermit(limited);
}

void PlacementWait::check(TimePoint now)
{
    if (this->nextPermitRequestAt && now >= *this->nextPermitRequestAt)
        this->begin();
}

void PlacementWait::withdraw()
{
    if (this->queuedPromptId != 0)
        this->context.dispatcher.withdraw(std::exchange(this->queuedPromptId, 0));
    this->context.permits.withdraw(std::exchange(this->permitRequestId, 0));
    this->nextPermitRequestAt.reset();
}

const char* PlacementWait::awaitedParty() const
{
    if (this->queuedPromptId != 0)
        return "queue";
    return this->permitRequestId != 0 || this->nextPermitRequestAt ? "permit" : nullptr;
}

void PlacementWait::requestPermit(const std::vector<std::string>& upstreamGenerations)
{
    this->permitRequestId = this->context.permits.request(
        upstreamGenerations, [weak = this->weak_from_this()](std::optional<Duration> retryAfter) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->permitRequestId = 0;
            self->onPermitDecided(retryAfter);
        });
}

void PlacementWait::onPermitDecided(std::optional<Duration> retryAfter)
{
    if (!retryAfter) {
        this->assign(this->handlers.describe());
        return;
    }
    // A refusal would cut a stream that has begun, so it waits as long as its caller does.
    const TimePoint now = this->context.clock.now();
    const Placement::QueuedPrompt prompt = this->handlers.describe().prompt;
    if (prompt.hasBegun && now + *retryAfter < prompt.callerTimeoutAt)
        this->nextPermitRequestAt = now + *retryAfter;
    else
        this->handlers.onRefused(ResultCode::UpstreamLimited, retryAfter);
}

void PlacementWait::assign(PendingPrompt pending)
{
    if (this->context.dispatcher.isEngineService(pending.criteria.service)) {
        this->enqueuePrompt(std::move(pending));
        return;
    }
    if (const auto assignment = this->context.dispatcher.assignCall(pending.criteria))
        this->handlers.onAssigned(*assignment);
    else
        this->handlers.onNoUpstream(this->context.dispatcher.pauseLeft(pending.criteria));
}

void PlacementWait::enqueuePrompt(PendingPrompt pending)
{
    const std::weak_ptr<PlacementWait> weak = this->weak_from_this();
    pending.onAssigned = [weak](const Assignment& assignment) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->queuedPromptId = 0;
        self->handlers.onAssigned(assignment);
    };
    pending.onRefused = [weak](ResultCode code, Duration retryAfter) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->queuedPromptId = 0;
        self->handlers.onRefused(code, retryAfter);
    };
    this->queuedPromptId = this->context.dispatcher.enqueue(std::move(pending));
    this->context.dispatcher.schedule();
}

} // namespace Gateway
