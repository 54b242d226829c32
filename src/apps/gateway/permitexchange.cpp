#include "permitexchange.h"

#include <foundation/logging.h>

#include <algorithm>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;

// From the request for a permit to its end. A permit that is not used by then is returned.
constexpr Duration permitLifetime = std::chrono::seconds(1);
// An issuer that is sound replies within some ms.
constexpr Duration replyTimeout = std::chrono::milliseconds(300);
// An issuer that did not reply is asked again after this time.
constexpr Duration skipTime = std::chrono::seconds(3);
// An upstream is asked about again after this time, since its limit or the issuer may have changed.
constexpr Duration longestFullTime = std::chrono::seconds(1);
// When callers may retry if no issuer replies. Another one is found by then.
constexpr Duration noIssuerRetryAfter = std::chrono::seconds(1);

} // namespace

PermitExchange::PermitExchange(const Foundation::Clock& clock, const Foundation::Clock& bootClock,
    Membership::LoadRelayCandidate self, RateLimit::UpstreamLimits& limits, Handlers handlers)
    : clock(clock)
    , bootClock(bootClock)
    , self(std::move(self))
    , limits(limits)
    , handlers(std::move(handlers))
    , issuer(bootClock)
    , stock(bootClock)
    , currentIssuer(this->self.process)
{
}

bool PermitExchange::isLimited(std::string_view upstreamGeneration) const
{
    return this->limits.find(upstreamGeneration).has_value();
}

bool PermitExchange::allows(std::string_view upstreamGeneration)
{
    if (!this->isLimited(upstreamGeneration) || this->stock.has(upstreamGeneration))
        return true;
    this->obtain(upstreamGeneration);
    return this->stock.has(upstreamGeneration);
}

void PermitExchange::countRequest(std::string_view upstreamGeneration)
{
    if (this->isLimited(upstreamGeneration))
        this->stock.tryTake(upstreamGeneration);
}

void PermitExchange::obtain(std::string_view upstreamGeneration)
{
    const auto full = this->fullUntil.find(upstreamGeneration);
    if (full != this->fullUntil.end() && this->bootClock.now() < full->second)
        return;
    const bool isRequested = std::ranges::any_of(this->pendingRequests, [&](const auto& entry) {
        return std::ranges::find(entry.second.upstreamGenerations, upstreamGeneration)
            != entry.second.upstreamGenerations.end();
    });
    if (!isRequested)
        this->submit(++this->lastRequest, { .upstreamGenerations = { std::string(upstreamGeneration) } });
}

PermitRequestId PermitExchange::request(std::vector<std::string> upstreamGenerations, Decision onDecision)
{
    const PermitRequestId id = ++this->lastRequest;
    const bool isPending = this->submit(
        id, { .upstreamGenerations = std::move(upstreamGenerations), .onDecision = std::move(onDecision) });
    return isPending ? id : 0;
}

bool PermitExchange::submit(PermitRequestId id, PendingRequest pending)
{
    pending.issuer = this->currentIssuer;
    pending.sentAt = this->bootClock.now();
    const bool isCallerWaiting = bool(pending.onDecision);
    if (pending.issuer == this->self.process) {
        this->decide(pending, this->issue(pending.upstreamGenerations, isCallerWaiting));
        return false;
    }
    Wire::PermitRequest message { id, isCallerWaiting, {} };
    for (const std::string& generation : pending.upstreamGenerations)
        message.upstreams.push_back(this->limits.notice(generation, this->clock.now()));
    const std::string receiver = pending.issuer;
    this->pendingRequests.emplace(id, std::move(pending));
    this->handlers.send(receiver, message);
    return true;
}

void PermitExchange::withdraw(PermitRequestId id) { this->pendingRequests.erase(id); }

Wire::PermitReply PermitExchange::issue(std::span<const std::string> upstreamGenerations, bool isCallerWaiting)
{
    this->issuer.setGatewayCount(this->handlers.gatewayCount());
    if (this->currentIssuer == this->self.process)
        this->issuer.recordSupport(this->self.process);
    else
        this->issuer.withdrawSupport(this->self.process);
    std::optional<RateLimit::PermitDecision> refusal;
    for (const std::string& generation : upstreamGenerations) {
        const std::optional<double> limit = this->limits.find(generation);
        if (!limit)
            return { 0, generation, 0, 0 };
        const RateLimit::PermitDecision decision = this->issuer.request(generation, *limit, isCallerWaiting);
        if (decision.isGranted)
            return { 0, generation, 0, 0 };
        if (!refusal || decision.retryAfter < refusal->retryAfter)
            refusal = decision;
    }
    const RateLimit::PermitDecision decision = refusal.value_or(RateLimit::PermitDecision {});
    // Rounded up, so that callers do not come back too early.
    return { 0, {}, Foundation::toMilliseconds(decision.untilRoom) + 1,
        Foundation::toMilliseconds(decision.retryAfter) + 1 };
}

void PermitExchange::decide(const PendingRequest& pending, const Wire::PermitReply& reply)
{
    const TimePoint now = this->bootClock.now();
    const TimePoint expiresAt = pending.sentAt + permitLifetime;
    const bool isGranted = !reply.upstreamGeneration.empty();
    if (isGranted && now < expiresAt)
        this->stock.add(reply.upstreamGeneration, expiresAt);
    else if (isGranted)
        this->giveBack(reply.upstreamGeneration);
    for (const std::string& generation : pending.upstreamGenerations) {
        if (!isGranted)
            this->fullUntil[generation]
                = now + std::min<Duration>(std::chrono::milliseconds(reply.untilRoomMs), longestFullTime);
    }
    logEvent(Event::PermitDecided, "",
        "issuer=" + pending.issuer + " upstream="
            + (isGranted ? reply.upstreamGeneration
                         : pending.upstreamGenerations.front()
                        + " of=" + std::to_string(pending.upstreamGenerations.size()) + " until_room_ms="
                        + std::to_string(reply.untilRoomMs) + " retry_after_ms=" + std::to_string(reply.retryAfterMs)));
    if (pending.onDecision)
        pending.onDecision(
            isGranted ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(reply.retryAfterMs)));
    else if (isGranted && pending.issuer != this->self.process)
        this->handlers.onPermitObtained();
}

void PermitExchange::onRequest(const std::string& process, const Wire::PermitRequest& request)
{
    this->issuer.recordSupport(process);
    std::vector<std::string> generations;
    for (const RateLimit::LimitNotice& upstream : request.upstreams) {
        this->limits.recordNotice(upstream, this->clock.now());
        generations.push_back(upstream.upstreamGeneration);
    }
    Wire::PermitReply reply = this->issue(generations, request.isCallerWaiting);
    reply.number = request.number;
    this->handlers.send(process, reply);
}

void PermitExchange::onReply(const std::string& process, const Wire::PermitReply& reply)
{
    const auto found = this->pendingRequests.find(reply.number);
    if (found == this->pendingRequests.end() || found->second.issuer != process) {
        if (!reply.upstreamGeneration.empty())
            this->handlers.send(process, Wire::PermitReturn { reply.upstreamGeneration });
        return;
    }
    const PendingRequest pending = std::move(found->second);
    this->pendingRequests.erase(found);
    this->decide(pending, reply);
}

void PermitExchange::onReturn(const Wire::PermitReturn& returned)
{
    this->issuer.giveBack(returned.upstreamGeneration);
}

void PermitExchange::recordSupport(const std::string& process, std::string_view issuerName)
{
    if (issuerName == this->self.process)
        this->issuer.recordSupport(process);
    else
        this->issuer.withdrawSupport(process);
}

bool PermitExchange::isReachable(const std::string& process) const
{
    return std::ranges::any_of(this->handlers.reachableGateways(),
        [&](const Membership::LoadRelayCandidate& candidate) { return candidate.process == process; });
}

void PermitExchange::selectIssuer()
{
    const TimePoint now = this->bootClock.now();
    Membership::LoadRelayCandidate selected = this->self;
    for (const Membership::LoadRelayCandidate& candidate : this->handlers.reachableGateways()) {
        const auto skipped = this->skippedUntil.find(candidate.process);
        const bool isSkipped = skipped != this->skippedUntil.end() && now < skipped->second;
        if (!isSkipped && Membership::isPreferred(candidate, selected))
            selected = candidate;
    }
    if (selected.process == this->currentIssuer)
        return;
    this->currentIssuer = selected.process;
    logEvent(Event::PermitIssuerSelected, "", "issuer=" + this->currentIssuer);
}

void PermitExchange::tick()
{
    if (this->hasLimits())
        this->selectIssuer();
    const TimePoint now = this->bootClock.now();
    std::vector<std::pair<PermitRequestId, PendingRequest>> unanswered;
    std::erase_if(this->pendingRequests, [&](auto& entry) {
        if (now - entry.second.sentAt < replyTimeout && this->isReachable(entry.second.issuer))
            return false;
        unanswered.emplace_back(entry.first, std::move(entry.second));
        return true;
    });
    for (auto& [id, pending] : unanswered) {
        if (this->isReachable(pending.issuer))
            this->skippedUntil[pending.issuer] = now + skipTime;
        this->selectIssuer();
        logEvent(Event::PermitDecided, "", "issuer=" + pending.issuer + " reply=none");
        if (!pending.onDecision)
            continue;
        // The request moves on to another issuer once.
        if (std::exchange(pending.isRepeated, true))
            pending.onDecision(noIssuerRetryAfter);
        else
            this->submit(id, std::move(pending));
    }
    for (const std::string& generation : this->stock.takeExpired())
        this->giveBack(generation);
}

void PermitExchange::giveBack(const std::string& upstreamGeneration)
{
    if (this->currentIssuer == this->self.process)
        this->issuer.giveBack(upstreamGeneration);
    else
        this->handlers.send(this->currentIssuer, Wire::PermitReturn { upstreamGeneration });
}

void PermitExchange::remove(std::string_view upstreamGeneration)
{
    this->limits.remove(upstreamGeneration);
    this->onLimitChanged(upstreamGeneration);
}

void PermitExchange::onLimitChanged(std::string_view upstreamGeneration)
{
    this->selectIssuer();
    if (!this->isLimited(upstreamGeneration))
        this->issuer.remove(upstreamGeneration);
    const auto full = this->fullUntil.find(upstreamGeneration);
    if (full != this->fullUntil.end())
        this->fullUntil.erase(full);
}

} // namespace Gateway
