#include "proxiedrequest.h"

#include "requesttext.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::ResultCode;
using Foundation::RunOutcome;
using Foundation::TimePoint;
using Policy::RequestKind;
using Relay::FailoverAction;
using Relay::Observation;

// For requests without a caller timeout; the timeout of the route is usually shorter.
constexpr Duration defaultCallerTimeout = std::chrono::seconds(60);
// When callers may retry after a refusal, if there is no better estimate.
constexpr Duration defaultRetryAfter = std::chrono::milliseconds(400);
// Other processes accept requests while this one shuts down, so callers may retry almost at once.
constexpr Duration shutdownRetryAfter = std::chrono::milliseconds(30);
// All callers wait at least this long for the first event. A prompt that can no longer meet its first-event target
// stays queued while the event can still come within this time; with a longer target, it is refused at once.
constexpr Duration minimumCallerWait = std::chrono::seconds(2);
constexpr Duration quarantineRetryAfter = std::chrono::seconds(10);
// The head of a rejection says all; its body, which follows at once, is only worth a short wait.
constexpr Duration rejectionBodyTimeout = std::chrono::milliseconds(100);
// Upstreams must not work on a request for longer than half a second after its caller has closed its connection, and
// callers may do so as soon as they have an answer.
constexpr Duration watchTimeAfterRequest = std::chrono::milliseconds(350);

Duration jittered(Duration duration)
{
    return std::chrono::milliseconds(Foundation::jittered(Foundation::toMilliseconds(duration)));
}

const char* kindText(RequestKind kind)
{
    if (kind == RequestKind::Stream)
        return "stream";
    return kind == RequestKind::Safe ? "safe" : "unsafe";
}

} // namespace

ProxiedRequest::ProxiedRequest(ProxyContext& context, std::shared_ptr<Web::HttpExchange> exchange)
    : context(context)
    , exchange(std::move(exchange))
    , crashEvidence(context, this->request)
{
}

void ProxiedRequest::refuse(ResultCode code)
{
    this->readRequest();
    this->fail(code, defaultRetryAfter);
}

void ProxiedRequest::readRequest()
{
    this->arrivedAt = this->context.clock.now();
    this->lastDeliveredAt = this->arrivedAt;
    this->request = PlatformAdapter::decodeCallerRequest(this->exchange->request());
    this->deadline = this->arrivedAt + this->request.callerTimeout.value_or(defaultCallerTimeout);
}

void ProxiedRequest::start()
{
    this->readRequest();
    this->exchange->setDisconnectHandler([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    if (this->context.plannedStop.isTooLateFor(this->arrivedAt)) {
        this->fail(ResultCode::ShuttingDown, shutdownRetryAfter);
        return;
    }
    if (!this->resolveRoute())
        return;
    this->deadline = std::min(this->deadline, this->arrivedAt + this->route->timeout);
    this->context.retryBudget.countRequest(this->criteria.service, this->arrivedAt);
    this->context.metrics
        .counter("bluebell_requests_total", std::string("kind=\"") + kindText(this->route->kind) + "\"")
        .fetch_add(1);
    logEvent(Event::RequestAccepted, this->request.id,
        "route=" + this->route->name + " service=" + this->criteria.service + " policy="
            + std::to_string(this->policy->version()) + " time_left_ms=" + millisecondsText(this->timeLeft())
            + " prompt_tokens=" + std::to_string(this->request.promptTokens));
    this->crashEvidence.setFingerprint(this->makeFingerprint());
    this->context.promptParts.recordArrival(this->request.sharedPromptParts);
    if (!this->refuseIfQuarantined())
        this->dispatch();
}

bool ProxiedRequest::resolveRoute()
{
    this->policy = this->context.storeSynchronizer.policy();
    if (!this->policy) {
        this->fail(ResultCode::NoConfiguration, defaultRetryAfter);
        return false;
    }
    this->route = this->policy->findRoute(this->request.host, this->exchange->request().path);
    if (!this->route) {
        // A newer configuration that has not been read yet may contain the route.
        if (this->context.storeSynchronizer.isPossiblyStale())
            this->fail(ResultCode::StaleKnowledge, defaultRetryAfter);
        else
            this->fail(ResultCode::UnknownPath, std::nullopt);
        return false;
    }
    if (!this->authenticate(*this->policy))
        return false;
    // Uniform in [0, 1): the upper 53 bits of the hash.
    const double draw = static_cast<double>(Foundation::hash64(this->request.id) >> 11) * 0x1.0p-53;
    this->criteria.service = Policy::chooseService(*this->route, draw);
    this->criteria.regions = this->route->regions;
    if (this->account && !this->account->regions.empty()) {
        if (this->criteria.regions.empty())
            this->criteria.regions = this->account->regions;
        else
            std::erase_if(this->criteria.regions, [this](const std::string& region) {
                return std::ranges::find(this->account->regions, region) == this->account->regions.end();
            });
    }
    return true;
}

bool ProxiedRequest::authenticate(const Policy::TrafficPolicy& currentPolicy)
{
    if (!currentPolicy.hasAccounts() || this->route->isPublic)
        return true;
    if (!this->context.storeSynchronizer.canAcceptKeys()) {
        this->fail(ResultCode::StaleKnowledge, defaultRetryAfter);
        return false;
    }
    this->account = currentPolicy.findAccount(this->request.key);
    if (this->account)
        return true;
    if (this->context.storeSynchronizer.isPossiblyStale())
        this->fail(ResultCode::StaleKnowledge, defaultRetryAfter);
    else
        this->fail(ResultCode::UnknownAccount, std::nullopt);
    return false;
}

std::string ProxiedRequest::makeFingerprint() const
{
    const Web::HttpRequest& source = this->exchange->request();
    const std::string accountName = this->account ? this->account->name : std::string();
    return std::to_string(Foundation::hash64(source.body(), Foundation::hash64(source.target + "\n" + accountName)));
}

bool ProxiedRequest::refuseIfQuarantined()
{
    if (this->context.suspects.status(this->crashEvidence.fingerprint()) != Quarantine::QuarantineStatus::Quarantined)
        return this->refuseIfPartQuarantined();
    logEvent(Event::RequestQuarantined, this->request.id,
        "fingerprint=" + this->crashEvidence.fingerprint()
            + " crashes=" + std::to_string(this->context.suspects.crashCount(this->crashEvidence.fingerprint()))
            + " sends=" + std::to_string(this->sends));
    this->fail(ResultCode::CrashSuspected, quarantineRetryAfter);
    return true;
}

bool ProxiedRequest::refuseIfPartQuarantined()
{
    const auto* const cause = this->context.promptParts.findCause(this->request.sharedPromptParts);
    if (!cause)
        return false;
    logEvent(Event::RequestQuarantined, this->request.id,
        "part=" + promptPartsText(cause->parts) + " crashes=" + std::to_string(cause->crashCount)
            + " sends=" + std::to_string(this->sends));
    this->fail(ResultCode::CrashSuspected, quarantineRetryAfter);
    return true;
}

void ProxiedRequest::dispatch()
{
    if (this->refuseBeforeStop(this->context.clock.now()))
        return;
    if (!this->placementWait)
        this->createPlacementWait();
    this->placementWait->begin();
}

void ProxiedRequest::createPlacementWait()
{
    const std::weak_ptr<ProxiedRequest> weak = this->weak_from_this();
    PlacementWait::Handlers handlers;
    // The wait is a member, so it calls this one only while the request exists.
    handlers.describe = [this] { return this->makePendingPrompt(); };
    handlers.onAssigned = [weak](const Assignment& assignment) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->beginAttempt(assignment);
    };
    handlers.onNoUpstream = [weak](std::optional<Duration> pauseLeft) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->fail(self->sends == 0 ? ResultCode::NoUpstream : ResultCode::UpstreamRejected,
                std::max(defaultRetryAfter, pauseLeft.value_or(Duration::zero())));
    };
    handlers.onRefused = [weak](ResultCode code, std::optional<Duration> retryAfter) {
        const auto self = weak.lock();
        if (self && !self->hasEnded)
            self->fail(code, retryAfter);
    };
    this->placementWait = std::make_shared<PlacementWait>(this->context, std::move(handlers));
}

PendingPrompt ProxiedRequest::makePendingPrompt() const
{
    PendingPrompt pending;
    pending.criteria = this->criteria;
    pending.prompt.demand.promptTokens = this->request.promptTokens;
    pending.prompt.demand.outputTokens = this->request.maximumOutputTokens;
    pending.prompt.demand.eventGapTarget = this->route->eventGapTarget;
    pending.prompt.firstEventTargetAt = this->hasStreamBegun ? this->lastDeliveredAt + this->route->eventGapTarget
                                                             : this->arrivedAt + this->route->firstEventTarget;
    pending.prompt.firstEventTarget = this->route->firstEventTarget;
    pending.prompt.callerTimeoutAt
        = std::min(this->deadline, this->lastDeliveredAt + PlatformAdapter::streamEventTimeout(*this->route));
    // A stream that has begun waits as long as its caller does.
    pending.prompt.maximumWaitPastTarget = this->hasStreamBegun
        ? pending.prompt.callerTimeoutAt - pending.prompt.firstEventTargetAt
        : std::max(Duration::zero(), minimumCallerWait - this->route->firstEventTarget);
    pending.prompt.priority
        = this->account && this->account->priority ? *this->account->priority : this->route->priority;
    pending.prompt.hasBegun = this->hasStreamBegun;
    return pending;
}

PendingPrompt ProxiedRequest::makeNextPrompt() const
{
    PendingPrompt next = this->makePendingPrompt();
    next.criteria.triedGenerations.insert(this->attempt->assignment.upstreamGeneration);
    return next;
}

Relay::RequestProgress ProxiedRequest::progressAfter(RunOutcome outcome) const
{
    Relay::RequestProgress progress;
    progress.outcome = outcome;
    progress.isRepeatable = this->route->isRepeatable();
    progress.hasDelivered = this->hasStreamBegun;
    progress.canResume = !this->events.lastEventId().empty();
    progress.runs = this->runs + (outcome == RunOutcome::NotRun ? 0 : 1);
    progress.maximumRuns = this->maximumRuns();
    progress.sends = this->sends;
    progress.timeLeft = this->timeLeft();
    return progress;
}

void ProxiedRequest::onAttemptFailed(RunOutcome outcome, ResultCode code, bool hasReachedUpstream)
{
    this->closeAttempt(Observation::Failed);
    const Relay::RequestProgress progress = this->progressAfter(outcome);
    this->runs = progress.runs;
    FailoverAction action = Relay::chooseFailoverAction(progress);
    const bool needsRetryBudget = hasReachedUpstream && action != FailoverAction::Fail;
    if (needsRetryBudget && !this->trySpendRetry(this->context.clock.now())) {
        action = FailoverAction::Fail;
        this->context.metrics.countRefusal(ResultCode::RetryBudgetSpent);
    }
    this->performFailoverAction(action, code);
}

void ProxiedRequest::performFailoverAction(FailoverAction action, ResultCode code)
{
    if (action == FailoverAction::Fail) {
        // After a run, the answer must not state that the request has not run, so it carries no time to retry.
        const bool mayHaveRun = this->runs > 0;
        const bool isTimeUp = this->timeLeft() <= Duration::zero();
        if (mayHaveRun)
            this->fail(isTimeUp ? ResultCode::DeadlineExceeded : code, std::nullopt);
        else
            this->fail(isTimeUp ? ResultCode::DeadlineUnreachable : ResultCode::UpstreamRejected, defaultRetryAfter);
        return;
    }
    this->prepareFailover(action, code);
    this->dispatch();
}

void ProxiedRequest::prepareFailover(FailoverAction action, ResultCode code)
{
    this->context.metrics.countRetry(code);
    logEvent(action == FailoverAction::Resume ? Event::RequestResumed : Event::RequestRetried, this->request.id,
        std::string("reason=") + std::string(Foundation::resultCodeEntry(code).name)
            + " runs=" + std::to_string(this->runs) + " sends=" + std::to_string(this->sends)
            + " last_event=" + this->events.lastEventId());
    if (action == FailoverAction::Resume)
        this->events.beginResumedStream();
    else
        this->events.discardPartialEvent();
}

void ProxiedRequest::fail(ResultCode code, std::optional<Duration> retryAfter)
{
    if (this->hasEnded)
        return;
    const auto& entry = Foundation::resultCodeEntry(code);
    if (!this->parkedAttempts.empty()) {
        // The upstream that was heard from last is the most likely one to go on.
        const auto latest = std::ranges::max_element(
            this->parkedAttempts, {}, [](const ParkedAttempt& parked) { return parked.attempt.lastDataAt; });
        this->returnToParkedAttempt(latest->number);
        logEvent(Event::AttemptSilent, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamGeneration + " reason=the other attempt failed code="
                + std::string(entry.name) + " runs=" + std::to_string(this->runs));
        return;
    }
    this->closeAttempt(std::nullopt);
    this->context.metrics.countRefusal(code);
    const std::string detail = std::string("code=") + std::string(entry.name)
        + " status=" + std::to_string(entry.httpStatus) + " runs=" + std::to_string(this->runs) + " sends="
        + std::to_string(this->sends) + " took_ms=" + millisecondsText(this->context.clock.now() - this->arrivedAt)
        + " policy=" + std::to_string(this->policy ? this->policy->version() : 0);
    if (this->hasStreamBegun) {
        logEvent(Event::RequestBroken, this->request.id, detail);
        this->exchange->abort();
        this->finish();
        return;
    }
    if (this->runs > 0)
        retryAfter.reset();
    logEvent(Event::RequestRefused, this->request.id, detail);
    // The status of a refusal states that the request has not run; after a run, the answer is an upstream failure.
    const bool needsFailureStatus
        = this->runs > 0 && entry.httpStatus == Foundation::resultCodeEntry(ResultCode::NoUpstream).httpStatus;
    const int status
        = needsFailureStatus ? Foundation::resultCodeEntry(ResultCode::UpstreamFailed).httpStatus : entry.httpStatus;
    // Callers who are refused for a limit are told different times anyway.
    if (retryAfter && code != ResultCode::UpstreamLimited)
        retryAfter = jittered(*retryAfter);
    Web::HttpReply reply = PlatformAdapter::encodeLocalReply(status, this->request.id, retryAfter, entry.name);
    reply.closesConnection = this->context.plannedStop.hasBegun();
    this->exchange->respond(std::move(reply));
    this->finish();
}

void ProxiedRequest::onCallerGone()
{
    if (this->hasEnded)
        return;
    logEvent(Event::CallerLeft, this->request.id,
        "took_ms=" + millisecondsText(this->context.clock.now() - this->arrivedAt));
    if (this->attempt)
        this->recordUnansweredAttempt("caller left");
    this->closeAttempt(std::nullopt);
    this->dropParkedAttempts();
    // Upstreams must not go on with a request whose caller has left.
    for (const auto& [number, call] : this->watchedCalls) {
        if (this->context.silenceWatch.take(call))
            this->context.transfers.cancel(call);
    }
    this->finish();
}

void ProxiedRequest::finish()
{
    if (this->hasEnded)
        return;
    this->dropParkedAttempts();
    for (const auto& [number, call] : this->watchedCalls)
        this->context.silenceWatch.limit(call, this->context.clock.now() + watchTimeAfterRequest);
    this->hasEnded = true;
    if (this->placementWait)
        this->placementWait->withdraw();
    this->giveUnsentRetryBack();
    this->context.onEnded(*this);
}

void ProxiedRequest::checkTimeouts(TimePoint now)
{
    if (this->hasEnded || !this->route)
        return;
    if (now >= this->deadline) {
        this->dropParkedAttempts();
        const bool isRunning = this->attempt && !this->attempt->isRejected();
        const bool mayHaveRun = isRunning || this->runs > 0;
        if (isRunning) {
            this->recordUnansweredAttempt("deadline");
            if (this->silenceLimits().isUpstreamSilent(*this->attempt, now))
                this->watchSilentAttempt(*this->attempt, this->currentAttemptNumber);
            ++this->runs;
            this->closeAttempt(Observation::Failed);
        }
        this->fail(mayHaveRun ? ResultCode::DeadlineExceeded : ResultCode::DeadlineUnreachable, defaultRetryAfter);
        return;
    }
    if (this->refuseBeforeStop(now) || this->endBeforeStop(now))
        return;
    this->logIfLate(now);
    this->checkParkedAttempts(now);
    if (this->placementWait)
        this->placementWait->check(now);
    if (this->hasEnded || !this->attempt)
        return;
    this->updateDoubt(now);
    if (this->attempt->isRejected()) {
        if (now - this->attempt->lastProgressAt >= rejectionBodyTimeout)
            this->onRejected();
        return;
    }
    if (this->attempt->doubtfulSince || this->silenceLimits().isAnswerLost(*this->attempt, now)
        || (!this->attempt->isPaused && this->silenceLimits().isUpstreamSilent(*this->attempt, now)))
        this->handleSilence(now);
}

bool ProxiedRequest::refuseBeforeStop(TimePoint now)
{
    const std::optional<TimePoint> due = this->context.plannedStop.answersDueAt();
    const bool isAtUpstream = this->attempt && this->attempt->call != 0;
    if (!due || isAtUpstream)
        return false;
    // The rest of a stream that has begun may be short, and a refusal would cut it.
    const Duration needed = this->hasStreamBegun ? Duration::zero()
                                                 : this->context.dispatcher.minimumAnswerTime(this->criteria.service,
                                                     this->request.promptTokens, this->request.maximumOutputTokens);
    if (now + needed < *due)
        return false;
    this->fail(ResultCode::ShuttingDown, shutdownRetryAfter);
    return true;
}

bool ProxiedRequest::endBeforeStop(TimePoint now)
{
    const std::optional<TimePoint> due = this->context.plannedStop.answersDueAt();
    // The caller of a stream that has begun receives events as long as the process runs.
    if (!due || now < *due || this->hasStreamBegun)
        return false;
    this->dropParkedAttempts();
    if (this->attempt && !this->attempt->isRejected()) {
        this->recordUnansweredAttempt("process stops");
        ++this->runs;
    }
    this->closeAttempt(std::nullopt);
    this->fail(ResultCode::ShuttingDown, shutdownRetryAfter);
    return true;
}

bool ProxiedRequest::trySpendRetry(TimePoint now)
{
    this->giveUnsentRetryBack();
    if (!this->context.retryBudget.trySpend(this->criteria.service, now))
        return false;
    this->unsentRetrySpentAt = now;
    return true;
}

void ProxiedRequest::giveUnsentRetryBack()
{
    if (const auto spentAt = std::exchange(this->unsentRetrySpentAt, std::nullopt))
        this->context.retryBudget.giveBack(this->criteria.service, *spentAt);
}

Duration ProxiedRequest::timeLeft() const { return this->deadline - this->context.clock.now(); }

void ProxiedRequest::logIfLate(TimePoint now)
{
    const Duration target = this->hasStreamBegun ? this->route->eventGapTarget : this->route->firstEventTarget;
    const Duration waited = now - this->lastDeliveredAt;
    if (this->isWaitLogged || waited <= target)
        return;
    this->isWaitLogged = true;
    const std::string awaited = this->awaitedParty();
    std::string detail = "waits_for=" + awaited + " waited_ms=" + millisecondsText(waited)
        + " target_ms=" + millisecondsText(target) + " sends=" + std::to_string(this->sends);
    if (this->attempt)
        detail += " upstream=" + this->attempt->assignment.upstreamGeneration
            + " silent_ms=" + millisecondsText(now - this->attempt->lastDataAt);
    for (const ParkedAttempt& parked : this->parkedAttempts)
        detail += " parked=" + parked.attempt.assignment.upstreamGeneration;
    logEvent(Event::RequestLate, this->request.id, detail);
    this->context.metrics.counter("bluebell_late_requests_total", "waits_for=\"" + awaited + "\"").fetch_add(1);
}

const char* ProxiedRequest::awaitedParty() const
{
    if (const char* const awaited = this->placementWait ? this->placementWait->awaitedParty() : nullptr)
        return awaited;
    if (!this->attempt)
        return "nothing";
    if (this->attempt->call == 0)
        return "memory";
    return this->attempt->isPaused ? "caller" : "upstream";
}

} // namespace Gateway
