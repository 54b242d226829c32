#include "proxiedrequest.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include "platform/statuscheck.h"

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
using Relay::SilenceAction;

// For requests without a caller timeout; the timeout of the route is usually shorter.
constexpr Duration defaultCallerTimeout = std::chrono::seconds(60);
// The TCP handshake takes a few ms; an upstream that does not complete it is down or unreachable.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
// A silent upstream that does not read does not acknowledge a long body either.
constexpr auto unacknowledgedTimeout
    = std::chrono::duration_cast<std::chrono::milliseconds>(Relay::longestSoundSilence);
// Upstreams close idle connections after a few seconds, so connections that were idle for longer are not reused.
constexpr std::chrono::seconds maximumIdleConnectionAge { 2 };
// If a prefill helper is gone, the engine stalls for 1.5 s before it rejects the prompt.
constexpr Duration helperFailureAllowance = std::chrono::milliseconds(1'800);
// Added to twice the expected delay: a first event that is later than that most likely never arrives.
constexpr Duration firstEventAllowance = std::chrono::milliseconds(900);
// Added to twice the event-gap target before a stream counts as stalled.
constexpr Duration eventGapAllowance = std::chrono::milliseconds(700);
// A repeatable request whose answer is not a stream fails over after twice its target without data, but not sooner.
constexpr Duration minimumCallInactivityTimeout = std::chrono::milliseconds(250);
// After a failover that found no other upstream, the next one waits as long as the shortest silence that causes one.
constexpr Duration failoverRepeatInterval = minimumCallInactivityTimeout;
// Upstreams must not work on a request for longer than half a second after its caller has closed its connection, and
// callers may do so as soon as they have an answer.
constexpr Duration watchTimeAfterRequest = std::chrono::milliseconds(350);
// When callers may retry after a refusal, if there is no better estimate.
constexpr Duration defaultRetryAfter = std::chrono::milliseconds(400);
// Other processes accept requests while this one shuts down, so callers may retry almost at once.
constexpr Duration shutdownRetryAfter = std::chrono::milliseconds(30);
// All callers wait at least this long for the first event. A prompt that can no longer meet its first-event target
// stays queued while the event can still come within this time; with a longer target, it is refused at once.
constexpr Duration minimumCallerWait = std::chrono::seconds(2);
constexpr Duration quarantineRetryAfter = std::chrono::seconds(10);
// No more of a stream is read while its caller has this many bytes to receive.
constexpr std::size_t maximumUnsentBytes = 128 * 1024;
// A rejection's body is read to its end, so that the connection can be reused, unless it is longer.
constexpr std::size_t maximumRejectionBytes = 16 * 1024;
// The head of a rejection says all; its body, which follows at once, is only worth a short wait.
constexpr Duration rejectionBodyTimeout = std::chrono::milliseconds(100);
// How long after its answer to a status check a doubtful upstream is asked again.
constexpr Duration statusCheckInterval = std::chrono::milliseconds(500);
constexpr int firstServerErrorStatus = 500;
constexpr int firstErrorStatus = 300;
constexpr int statusOk = 200;

Duration jittered(Duration duration)
{
    return std::chrono::milliseconds(Foundation::jittered(Foundation::toMilliseconds(duration)));
}

std::string millisecondsText(Duration duration) { return std::to_string(Foundation::toMilliseconds(duration)); }

std::string joinUpstreamNames(const std::vector<AssignedHelper>& helpers)
{
    std::string names;
    for (const AssignedHelper& helper : helpers)
        names += (names.empty() ? "" : ",") + helper.upstream;
    return names;
}

const char* kindText(RequestKind kind)
{
    if (kind == RequestKind::Stream)
        return "stream";
    return kind == RequestKind::Safe ? "safe" : "unsafe";
}

const char* framingText(Platform::BodyFraming framing)
{
    switch (framing) {
    case Platform::BodyFraming::Length:
        return "length";
    case Platform::BodyFraming::Chunks:
        return "chunks";
    case Platform::BodyFraming::ConnectionClose:
        return "connection-close";
    }
    return "";
}

bool isValidAnswer(const PlatformAdapter::AnswerHeaders& headers, int status)
{
    return headers.belongsToRequest && (status >= firstErrorStatus || (headers.isSigned && !headers.isEncoded));
}

} // namespace

ProxiedRequest::ProxiedRequest(ProxyContext& context, std::shared_ptr<Web::HttpExchange> exchange)
    : context(context)
    , exchange(std::move(exchange))
{
}

void ProxiedRequest::start()
{
    this->arrivedAt = this->context.clock.now();
    this->lastDeliveredAt = this->arrivedAt;
    this->request = PlatformAdapter::decodeCallerRequest(this->exchange->request());
    this->deadline = this->arrivedAt + this->request.callerTimeout.value_or(defaultCallerTimeout);
    this->exchange->setDisconnectHandler([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerGone();
    });
    if (this->context.isShutdownImminent()) {
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
    this->fingerprint = this->makeFingerprint();
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
    return std::to_string(Foundation::hash64(source.body, Foundation::hash64(source.target + "\n" + accountName)));
}

bool ProxiedRequest::refuseIfQuarantined()
{
    if (this->context.suspects.status(this->fingerprint) != Quarantine::QuarantineStatus::Quarantined)
        return this->refuseIfPartQuarantined();
    logEvent(Event::RequestQuarantined, this->request.id,
        "fingerprint=" + this->fingerprint
            + " crashes=" + std::to_string(this->context.suspects.crashCount(this->fingerprint))
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
    this->nextPermitRequestAt.reset();
    const std::vector<std::string> limited = this->context.dispatcher.upstreamsThatNeedPermits(this->criteria);
    if (limited.empty())
        this->assign();
    else
        this->requestPermit(limited);
}

void ProxiedRequest::requestPermit(const std::vector<std::string>& upstreamGenerations)
{
    this->permitRequestId = this->context.permits.request(
        upstreamGenerations, [weak = this->weak_from_this()](std::optional<Duration> retryAfter) {
            const auto self = weak.lock();
            if (!self || self->hasEnded)
                return;
            self->permitRequestId = 0;
            self->onPermitDecided(retryAfter);
        });
}

void ProxiedRequest::onPermitDecided(std::optional<Duration> retryAfter)
{
    if (!retryAfter) {
        this->assign();
        return;
    }
    // A refusal would cut a stream that has begun, so it waits as long as its caller does.
    const TimePoint now = this->context.clock.now();
    const TimePoint callerTimeoutAt
        = std::min(this->deadline, this->lastDeliveredAt + PlatformAdapter::streamEventTimeout(*this->route));
    if (this->hasStreamBegun && now + *retryAfter < callerTimeoutAt)
        this->nextPermitRequestAt = now + *retryAfter;
    else
        this->fail(ResultCode::UpstreamLimited, retryAfter);
}

void ProxiedRequest::assign()
{
    if (this->context.dispatcher.isEngineService(this->criteria.service)) {
        this->enqueuePrompt();
        return;
    }
    const auto assignment = this->context.dispatcher.assignCall(this->criteria);
    if (assignment)
        this->beginAttempt(*assignment);
    else
        this->fail(this->sends == 0 ? ResultCode::NoUpstream : ResultCode::UpstreamRejected,
            std::max(defaultRetryAfter, this->context.dispatcher.pauseLeft(this->criteria)));
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

void ProxiedRequest::enqueuePrompt()
{
    PendingPrompt pending = this->makePendingPrompt();
    const std::weak_ptr<ProxiedRequest> weak = this->weak_from_this();
    pending.onAssigned = [weak](const Assignment& assignment) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->queuedPromptId = 0;
        self->beginAttempt(assignment);
    };
    pending.onRefused = [weak](ResultCode code, Duration retryAfter) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->queuedPromptId = 0;
        self->fail(code, retryAfter);
    };
    this->queuedPromptId = this->context.dispatcher.enqueue(std::move(pending));
    this->context.dispatcher.schedule();
}

void ProxiedRequest::beginAttempt(const Assignment& assignment)
{
    this->currentAttemptNumber = ++this->lastAttemptNumber;
    this->attempt.emplace();
    this->attempt->assignment = assignment;
    this->attempt->memory = std::make_shared<Relay::AnswerMemory::Share>(this->context.answerMemory);
    this->attempt->sentAt = this->context.clock.now();
    this->attempt->lastDataAt = this->attempt->sentAt;
    this->attempt->lastProgressAt = this->attempt->sentAt;
    // Crashes may have become known while the request waited, or by its own earlier attempts.
    if (this->refuseIfQuarantined())
        return;
    const bool needsMemory = std::ranges::any_of(
        assignment.helpers, [](const AssignedHelper& helper) { return helper.reservedTokens > 0; });
    if (needsMemory)
        this->reserveHelperMemory();
    else
        this->sendAttempt({});
    this->context.onLoadChanged(true);
}

void ProxiedRequest::reserveHelperMemory()
{
    std::vector<MemoryRequirement> requirements;
    for (const AssignedHelper& helper : this->attempt->assignment.helpers) {
        if (helper.reservedTokens > 0)
            requirements.push_back({ helper.upstream, helper.address, helper.reservedTokens });
    }
    const std::weak_ptr<ProxiedRequest> weak = this->weak_from_this();
    const std::uint64_t attemptNumber = this->currentAttemptNumber;
    this->attempt->memoryReservation = this->context.memoryLeases.reserve(
        requirements,
        [weak, attemptNumber] {
            const auto self = weak.lock();
            return self && self->usesReservedMemory(attemptNumber);
        },
        [weak, attemptNumber](const std::vector<std::string>& names) {
            const auto self = weak.lock();
            if (!self || !self->attempt || self->currentAttemptNumber != attemptNumber)
                return;
            if (!names.empty()) {
                self->sendAttempt(names);
                return;
            }
            logEvent(Event::AttemptRefused, self->request.id,
                "upstream=" + self->attempt->assignment.upstreamGeneration
                    + " reason=helper memory could not be reserved");
            self->closeAttempt(std::nullopt);
            self->onAttemptFailed(RunOutcome::NotRun, ResultCode::MemoryFull, false);
        });
}

bool ProxiedRequest::usesReservedMemory(std::uint64_t attemptNumber) const
{
    return this->attempt && attemptNumber == this->currentAttemptNumber && !this->attempt->isRejected();
}

PlatformAdapter::ForwardingHeaders ProxiedRequest::makeForwardingHeaders(
    const std::vector<std::string>& leaseNames) const
{
    const Assignment& assignment = this->attempt->assignment;
    PlatformAdapter::ForwardingHeaders forwarding;
    forwarding.upstream = assignment.upstream;
    forwarding.account = this->account ? this->account->name : std::string();
    forwarding.timeLeft = this->timeLeft();
    std::size_t usedNames = 0;
    for (const AssignedHelper& helper : assignment.helpers) {
        const std::string_view leaseName = helper.reservedTokens > 0 ? leaseNames.at(usedNames++) : std::string_view();
        forwarding.helpers.push_back(PlatformAdapter::encodeHelper(helper.address, leaseName));
    }
    if (this->hasStreamBegun)
        forwarding.resumeAfter = this->events.lastEventId();
    return forwarding;
}

void ProxiedRequest::sendAttempt(const std::vector<std::string>& leaseNames)
{
    const Web::HttpRequest& source = this->exchange->request();
    const Assignment& assignment = this->attempt->assignment;
    ++this->sends;
    this->unsentRetrySpentAt.reset();
    Platform::HttpCall call;
    call.method = source.method;
    call.url = "http://" + assignment.address + source.target;
    call.headers = PlatformAdapter::encodeForwardingHeaders(source, this->makeForwardingHeaders(leaseNames));
    call.body = source.body;
    // The attempt ends at the deadline at the latest; its call may be watched after that.
    call.timeout = this->timeLeft() + Relay::longestSoundSilence;
    call.connectTimeout = connectTimeout;
    call.unacknowledgedTimeout = unacknowledgedTimeout;
    call.maximumIdleAge = maximumIdleConnectionAge;
    call.answerId = PlatformAdapter::makeAnswerId(this->request.id);
    if (!this->route->isRepeatable()) {
        call.resend = Platform::Resend::Never;
        call.connectionUse = Platform::ConnectionUse::Dedicated;
    }
    // A second copy of the earlier rejection would name this request, too.
    if (this->rejectingGenerations.contains(assignment.upstreamGeneration))
        call.connectionUse = Platform::ConnectionUse::Dedicated;
    this->announceSuspect();
    const std::shared_ptr<ProxiedRequest> self = this->shared_from_this();
    const std::uint64_t attemptNumber = this->currentAttemptNumber;
    this->attempt->call = this->context.transfers.stream(std::move(call),
        { [self, attemptNumber, generation = assignment.upstreamGeneration, sentAt = this->context.clock.now()](
              Platform::HttpAnswerHead head) {
             self->onAnswerHead(attemptNumber, generation, sentAt, std::move(head));
         },
            [self, attemptNumber](const std::string& data) { self->onAnswerData(attemptNumber, data); },
            [self, attemptNumber](
                const Platform::HttpCallResult& result) { self->onCallEnded(attemptNumber, result); } });
    logEvent(Event::RequestPlaced, this->request.id,
        "upstream=" + assignment.upstreamGeneration + " helpers=" + std::to_string(assignment.helpers.size())
            + " holders=" + std::to_string(leaseNames.size())
            + " waited_ms=" + millisecondsText(this->attempt->sentAt - this->arrivedAt) + " expected_ms="
            + millisecondsText(assignment.expectedFirstEventDelay) + " send=" + std::to_string(this->sends)
            + " read_by=" + joinUpstreamNames(assignment.helpers) + " fingerprint=" + this->fingerprint);
}

void ProxiedRequest::onAnswerHead(
    std::uint64_t attemptNumber, const std::string& generation, TimePoint sentAt, Platform::HttpAnswerHead head)
{
    PlatformAdapter::AnswerHeaders decoded = PlatformAdapter::decodeAnswerHeaders(head, this->request.id);
    this->recordNotices(generation, sentAt, decoded);
    const bool isCurrent = this->attempt && attemptNumber == this->currentAttemptNumber;
    const bool isSuccess
        = isValidAnswer(decoded, head.status) && !decoded.isNotExecuted && head.status < firstServerErrorStatus;
    if (!isCurrent && !(isSuccess && this->resumeParkedAttempt(attemptNumber))) {
        if (this->findParkedAttempt(attemptNumber) && decoded.isNotExecuted && decoded.belongsToRequest)
            --this->runs;
        this->onLateData(attemptNumber);
        return;
    }
    this->attempt->headers = std::move(decoded);
    this->recordData();
    this->attempt->lastProgressAt = this->attempt->lastDataAt;
    this->context.suspects.recordAnswer(this->attempt->assignment.upstreamGeneration);
    const auto& headers = this->attempt->headers;
    const int status = head.status;
    this->attempt->head = std::move(head);
    if (!isValidAnswer(headers, status)) {
        this->recordCrash(Quarantine::CrashCertainty::Possible, "invalid answer");
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    this->attempt->isStream = this->route->kind == RequestKind::Stream && status == statusOk;
    // The upstream was asked to resume a stream. Any other answer must not be appended to the events sent so far.
    if (this->hasStreamBegun && !this->attempt->isStream && !headers.isNotExecuted)
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::UpstreamFailed, true);
}

void ProxiedRequest::recordNotices(
    const std::string& generation, TimePoint sentAt, const PlatformAdapter::AnswerHeaders& headers)
{
    // Another upstream answers at the address.
    if (!headers.belongsToRequest || headers.isMisaddressed)
        return;
    const TimePoint now = this->context.clock.now();
    if (headers.isLeaving && this->context.storeSynchronizer.directory().markLeaving(generation, now))
        logEvent(Event::UpstreamDraining, this->request.id, "upstream=" + generation + " change=says that it leaves");
    this->context.onLimitInAnswer(generation, headers.requestsPerSecond, sentAt);
    if (!headers.pause)
        return;
    this->context.health.recordPause(generation, *headers.pause, now);
    logEvent(Event::UpstreamLeftOut, this->request.id,
        "upstream=" + generation + " observation=asks for a pause pause_ms=" + millisecondsText(*headers.pause));
}

void ProxiedRequest::onAnswerData(std::uint64_t attemptNumber, std::string_view data)
{
    const bool isCurrent = this->attempt && attemptNumber == this->currentAttemptNumber;
    ParkedAttempt* const parked = isCurrent ? nullptr : this->findParkedAttempt(attemptNumber);
    if (parked && parked->attempt.isStream) {
        this->onParkedStreamData(*parked, data);
        return;
    }
    if (!isCurrent && !this->resumeParkedAttempt(attemptNumber)) {
        this->onLateData(attemptNumber);
        return;
    }
    this->recordData();
    if (this->attempt->isRejected()) {
        this->attempt->rejectionBytes += data.size();
        if (this->attempt->rejectionBytes > maximumRejectionBytes)
            this->onRejected();
        return;
    }
    if (this->attempt->isStream) {
        this->onStreamData(data);
        return;
    }
    this->attempt->lastProgressAt = this->attempt->lastDataAt;
    this->attempt->body += data;
    this->attempt->memory->resize(this->attempt->body.size());
    if (!this->attempt->memory->isWithinLimit())
        this->onAnswerTooLarge();
}

void ProxiedRequest::recordData()
{
    this->attempt->lastDataAt = this->context.clock.now();
    if (!this->attempt->headers.isMisaddressed)
        this->context.health.recordData(this->attempt->assignment.upstreamGeneration, this->attempt->lastDataAt);
}

void ProxiedRequest::onAnswerTooLarge()
{
    logEvent(Event::AttemptFinished, this->request.id,
        "upstream=" + this->attempt->assignment.upstreamGeneration
            + " error=the answer is too large limit_bytes=" + std::to_string(this->attempt->memory->limit())
            + " held_by_all_bytes=" + std::to_string(this->context.answerMemory.heldBytes()));
    this->recordCrash(Quarantine::CrashCertainty::Possible, "answer too large");
    this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerTooLarge, true);
}

void ProxiedRequest::onStreamData(std::string_view data)
{
    std::string completeEvents = this->events.feed(data);
    if (this->events.isOutOfOrder()) {
        this->recordCrash(Quarantine::CrashCertainty::Possible, "invalid answer");
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    this->attempt->memory->resize(this->events.partialEvent().size());
    if (!this->attempt->memory->isWithinLimit()) {
        this->onAnswerTooLarge();
        return;
    }
    if (!completeEvents.empty())
        this->forwardEvents(std::move(completeEvents));
}

void ProxiedRequest::onParkedStreamData(ParkedAttempt& parked, std::string_view data)
{
    const std::uint64_t number = parked.number;
    parked.attempt.lastDataAt = this->context.clock.now();
    this->context.health.recordData(parked.attempt.assignment.upstreamGeneration, parked.attempt.lastDataAt);
    std::string completeEvents = parked.events.feed(data);
    parked.attempt.memory->resize(parked.events.partialEvent().size());
    if (parked.events.isOutOfOrder() || !parked.attempt.memory->isWithinLimit()) {
        this->dropInvalidParkedAttempt(number);
        return;
    }
    if (completeEvents.empty())
        return;
    if (this->resumeParkedAttempt(number))
        this->forwardEvents(std::move(completeEvents));
    else
        this->onLateData(number);
}

void ProxiedRequest::dropInvalidParkedAttempt(std::uint64_t attemptNumber)
{
    const auto invalid = this->takeParkedAttempt(attemptNumber);
    if (!invalid)
        return;
    this->logLateBreak(invalid->attempt.assignment.upstreamGeneration, "the answer is out of order or too large");
    this->recordCrash(invalid->attempt, Quarantine::CrashCertainty::Possible, "invalid answer");
    this->releaseAttempt(invalid->attempt, Observation::Failed);
}

void ProxiedRequest::forwardEvents(std::string completeEvents)
{
    this->attempt->lastProgressAt = this->attempt->lastDataAt;
    this->recordFirstEvent();
    if (!this->hasStreamBegun) {
        this->beginStream();
        this->context.metrics.observe("bluebell_first_event_ms", "route=\"" + this->route->name + "\"",
            Foundation::toSeconds(this->context.clock.now() - this->arrivedAt) * 1e3);
    }
    this->lastDeliveredAt = this->context.clock.now();
    this->isWaitLogged = false;
    this->exchange->write(std::move(completeEvents));
    this->pauseForSlowCaller();
}

void ProxiedRequest::pauseForSlowCaller()
{
    const std::size_t unsentBytes = this->exchange->unsentBytes();
    this->attempt->memory->resize(this->events.partialEvent().size() + unsentBytes);
    const bool mustWait = unsentBytes >= maximumUnsentBytes || !this->attempt->memory->isWithinLimit();
    if (!mustWait || unsentBytes == 0)
        return;
    this->attempt->isPaused = true;
    this->context.transfers.pause(this->attempt->call);
}

void ProxiedRequest::onSentToCaller()
{
    if (!this->attempt || !this->attempt->isPaused || this->exchange->unsentBytes() >= maximumUnsentBytes / 2)
        return;
    this->attempt->isPaused = false;
    this->attempt->lastDataAt = this->context.clock.now();
    this->attempt->lastProgressAt = this->attempt->lastDataAt;
    this->context.transfers.resume(this->attempt->call);
}

void ProxiedRequest::beginStream()
{
    this->hasStreamBegun = true;
    Web::HttpReply head = PlatformAdapter::encodeAnswerHead(*this->attempt->head);
    head.closesConnection = this->context.isShuttingDown();
    this->exchange->setSentHandler([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onSentToCaller();
    });
    this->exchange->beginStream(head);
}

void ProxiedRequest::recordFirstEvent()
{
    this->dropParkedAttempts();
    if (!this->attempt->isPrefilling)
        return;
    this->attempt->isPrefilling = false;
    const Assignment& assignment = this->attempt->assignment;
    const Duration actualDelay = this->context.clock.now() - this->attempt->sentAt;
    this->context.health.recordDelay(assignment.upstreamGeneration, assignment.expectedFirstEventDelay, actualDelay);
    this->context.ledger.recordPrefillDone(assignment.dispatchedRequestId);
    logEvent(Event::AttemptStarted, this->request.id,
        "upstream=" + assignment.upstreamGeneration + " first_event_ms=" + millisecondsText(actualDelay)
            + " expected_ms=" + millisecondsText(assignment.expectedFirstEventDelay));
    this->context.onLoadChanged(false);
}

void ProxiedRequest::onLateData(std::uint64_t attemptNumber)
{
    if (const auto late = this->takeParkedAttempt(attemptNumber)) {
        this->releaseAttempt(late->attempt, std::nullopt);
        this->context.onSilenceEnded(late->attempt.assignment.upstreamGeneration);
        return;
    }
    const auto found = this->watchedCalls.find(attemptNumber);
    if (found == this->watchedCalls.end())
        return;
    const auto watched = this->context.silenceWatch.take(found->second);
    this->watchedCalls.erase(found);
    if (!watched)
        return;
    this->context.transfers.cancel(watched->call);
    this->context.onSilenceEnded(watched->generation);
}

void ProxiedRequest::onLateBreak(std::uint64_t attemptNumber, std::string_view error)
{
    if (const auto broken = this->takeParkedAttempt(attemptNumber)) {
        this->logLateBreak(broken->attempt.assignment.upstreamGeneration, error);
        this->recordCrash(broken->attempt, Quarantine::CrashCertainty::Suspected, "broken");
        this->releaseAttempt(broken->attempt, Observation::Broken);
        return;
    }
    const auto found = this->watchedCalls.find(attemptNumber);
    if (found == this->watchedCalls.end())
        return;
    const auto watched = this->context.silenceWatch.take(found->second);
    this->watchedCalls.erase(found);
    if (!watched)
        return;
    this->logLateBreak(watched->generation, error);
    this->context.onSilentCrash(*watched);
}

void ProxiedRequest::logLateBreak(const std::string& generation, std::string_view error) const
{
    logEvent(Event::AttemptFinished, this->request.id,
        "upstream=" + generation + " ending=broken after its silence error=" + std::string(error));
}

void ProxiedRequest::onLateNotConnected(std::uint64_t attemptNumber, Observation observation)
{
    if (const auto unconnected = this->takeParkedAttempt(attemptNumber)) {
        --this->runs;
        this->withdrawAnnouncement(unconnected->attempt);
        this->releaseAttempt(unconnected->attempt, observation);
        return;
    }
    const auto found = this->watchedCalls.find(attemptNumber);
    if (found == this->watchedCalls.end())
        return;
    const auto watched = this->context.silenceWatch.take(found->second);
    this->watchedCalls.erase(found);
    if (!watched)
        return;
    --this->runs;
    if (this->context.suspects.withdraw(watched->notice))
        this->context.onSuspectWithdrawn(watched->notice);
    this->recordObservation(watched->generation, observation);
}

ParkedAttempt* ProxiedRequest::findParkedAttempt(std::uint64_t attemptNumber)
{
    const auto found = std::ranges::find(this->parkedAttempts, attemptNumber, &ParkedAttempt::number);
    return found == this->parkedAttempts.end() ? nullptr : &*found;
}

std::optional<ParkedAttempt> ProxiedRequest::takeParkedAttempt(std::uint64_t attemptNumber)
{
    const auto found = std::ranges::find(this->parkedAttempts, attemptNumber, &ParkedAttempt::number);
    if (found == this->parkedAttempts.end())
        return std::nullopt;
    ParkedAttempt taken = std::move(*found);
    this->parkedAttempts.erase(found);
    return taken;
}

bool ProxiedRequest::resumeParkedAttempt(std::uint64_t attemptNumber)
{
    if (this->hasEnded || !this->findParkedAttempt(attemptNumber))
        return false;
    this->returnToParkedAttempt(attemptNumber);
    if (this->isLate(*this->attempt))
        this->context.onSilenceEnded(this->attempt->assignment.upstreamGeneration);
    return true;
}

void ProxiedRequest::returnToParkedAttempt(std::uint64_t attemptNumber)
{
    std::optional<ParkedAttempt> resumed = this->takeParkedAttempt(attemptNumber);
    if (!resumed)
        return;
    if (this->queuedPromptId != 0)
        this->context.dispatcher.withdraw(this->queuedPromptId);
    this->queuedPromptId = 0;
    this->withdrawPermitRequest();
    this->giveUnsentRetryBack();
    this->setCurrentAttemptAside();
    this->attempt = std::move(resumed->attempt);
    this->events = std::move(resumed->events);
    this->currentAttemptNumber = resumed->number;
    // Its run counts when it ends.
    --this->runs;
    this->attempt->failoverNotBefore = this->context.clock.now() + failoverRepeatInterval;
}

void ProxiedRequest::setCurrentAttemptAside()
{
    const bool isWorking = this->attempt && this->attempt->call != 0 && !this->attempt->isRejected();
    if (isWorking)
        ++this->runs;
    // The upstream that has gone on may fall silent again before it has delivered anything.
    if (isWorking && this->attempt->memoryReservation == 0)
        this->parkAttempt();
    else
        this->closeAttempt(std::nullopt);
}

void ProxiedRequest::parkAttempt()
{
    this->criteria.triedGenerations.insert(this->attempt->assignment.upstreamGeneration);
    this->parkedAttempts.push_back({ this->currentAttemptNumber, std::move(*this->attempt), this->events });
    this->attempt.reset();
    this->currentAttemptNumber = ++this->lastAttemptNumber;
}

void ProxiedRequest::parkSilentAttempt()
{
    const std::string generation = this->attempt->assignment.upstreamGeneration;
    this->parkAttempt();
    this->recordObservation(generation, Observation::Silent);
}

void ProxiedRequest::dropParkedAttempts()
{
    std::vector<ParkedAttempt> droppedAttempts = std::exchange(this->parkedAttempts, {});
    for (ParkedAttempt& dropped : droppedAttempts) {
        if (this->isLate(dropped.attempt))
            this->watchSilentAttempt(dropped.attempt, dropped.number);
        this->releaseAttempt(dropped.attempt, std::nullopt);
    }
}

void ProxiedRequest::checkParkedAttempts(TimePoint now)
{
    std::vector<std::uint64_t> endedNumbers;
    for (ParkedAttempt& parked : this->parkedAttempts) {
        if (now < this->crashSuspectedFrom(parked.attempt))
            continue;
        if (!std::exchange(parked.attempt.isCrashRecorded, true)) {
            this->recordCrash(parked.attempt, Quarantine::CrashCertainty::Suspected, "silent");
            this->recordObservation(parked.attempt.assignment.upstreamGeneration, Observation::Silent);
        }
        // A listed upstream may only be slow.
        if (this->isUpstreamDoubtful(parked.attempt))
            endedNumbers.push_back(parked.number);
    }
    for (const std::uint64_t number : endedNumbers) {
        if (const auto ended = this->takeParkedAttempt(number))
            this->releaseAttempt(ended->attempt, std::nullopt);
    }
}

void ProxiedRequest::onCallEnded(std::uint64_t attemptNumber, const Platform::HttpCallResult& result)
{
    const bool isCurrent = this->attempt && attemptNumber == this->currentAttemptNumber;
    const bool isWhole = result.outcome == Platform::CallOutcome::Complete;
    const Observation unconnectedObservation = result.isRefused ? Observation::Refused : Observation::Unreachable;
    // The other attempt goes on if the answer of the parked one has a defect.
    const ParkedAttempt* const parked = this->findParkedAttempt(attemptNumber);
    const bool isDefective = parked && !findDefect(result, parked->attempt, parked->events).empty();
    if (!isCurrent && !(isWhole && !isDefective && this->resumeParkedAttempt(attemptNumber))) {
        // An upstream that ends an answer in order has gone on. A stream that is resumed after its last event is empty.
        const bool mayBeEmpty
            = isDefective && this->hasStreamBegun && parked->attempt.isPrefilling && !parked->events.isInsideEvent();
        if (isWhole && (!isDefective || mayBeEmpty))
            this->onLateData(attemptNumber);
        else if (result.outcome == Platform::CallOutcome::NotConnected)
            this->onLateNotConnected(attemptNumber, unconnectedObservation);
        else
            this->onLateBreak(attemptNumber, result.error);
        return;
    }
    if (result.outcome == Platform::CallOutcome::NotConnected) {
        this->withdrawAnnouncement(*this->attempt);
        this->closeAttempt(unconnectedObservation);
        this->onAttemptFailed(RunOutcome::NotRun, ResultCode::UpstreamDown, false);
        return;
    }
    if (this->attempt->isRejected()) {
        this->onRejected();
        return;
    }
    if (const std::string defect = findDefect(result, *this->attempt, this->events); !defect.empty()) {
        logEvent(Event::AttemptFinished, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamGeneration + " error=" + defect
                + " partial_event_bytes=" + std::to_string(this->events.partialEvent().size()));
        // A stream that is resumed after its last event is empty, so an orderly end before another one is no crash.
        const bool mayBeWhole
            = isWhole && this->hasStreamBegun && this->attempt->isPrefilling && !this->events.isInsideEvent();
        this->recordCrash(
            mayBeWhole ? Quarantine::CrashCertainty::Possible : Quarantine::CrashCertainty::Suspected, "broken");
        this->closeAttempt(mayBeWhole ? Observation::Failed : Observation::Broken);
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    if (this->attempt->isStream)
        this->finishStream();
    else if (this->shouldRetryFailedAnswer())
        this->onAttemptFailed(RunOutcome::Ran, ResultCode::UpstreamFailed, true);
    else
        this->deliverBufferedAnswer();
}

void ProxiedRequest::onRejected()
{
    this->withdrawAnnouncement(*this->attempt);
    const PlatformAdapter::AnswerHeaders headers = this->attempt->headers;
    const std::string generation = this->attempt->assignment.upstreamGeneration;
    this->rejectingGenerations.insert(generation);
    logEvent(Event::AttemptRefused, this->request.id,
        "upstream=" + generation + " status=" + std::to_string(this->attempt->head->status)
            + " at=" + headers.faultyAddress);
    if (headers.isMisaddressed) {
        this->context.storeSynchronizer.directory().markMisaddressed(this->attempt->assignment.upstream);
        logEvent(Event::UpstreamMisaddressed, this->request.id, "upstream=" + generation);
    }
    const std::string& faultyAddress = headers.faultyAddress;
    const bool isHelperFault
        = !faultyAddress.empty() && faultyAddress != this->attempt->assignment.address && !headers.isMisaddressed;
    if (isHelperFault)
        this->recordHelperFailure(faultyAddress);
    this->closeAttempt(headers.isMisaddressed ? Observation::Refused : Observation::Answered);
    // The helper was at fault, so the upstream itself may receive the request again.
    if (isHelperFault)
        this->criteria.triedGenerations.erase(generation);
    this->onAttemptFailed(RunOutcome::NotRun, ResultCode::UpstreamRejected, true);
}

bool ProxiedRequest::shouldRetryFailedAnswer() const
{
    const bool isFailure = this->attempt->head->status >= firstServerErrorStatus || !this->attempt->headers.isSigned;
    return isFailure && this->route->isRepeatable() && this->runs + 1 < this->route->maximumRuns
        && this->timeLeft() > 2 * this->route->firstEventTarget;
}

std::string ProxiedRequest::findDefect(
    const Platform::HttpCallResult& result, const Attempt& ended, const Relay::EventSplitter& endedEvents)
{
    if (result.outcome != Platform::CallOutcome::Complete)
        return result.error;
    if (!ended.head)
        return "the answer has no head";
    if (!ended.isStream)
        return {};
    if (endedEvents.isInsideEvent())
        return "the stream ended inside an event";
    // Nothing shows that such a stream was meant to be empty.
    const bool isEmpty = ended.isPrefilling;
    if (isEmpty && ended.head->framing == Platform::BodyFraming::ConnectionClose)
        return "the connection was closed before the first event";
    return {};
}

void ProxiedRequest::finishStream()
{
    const std::string rest = this->events.partialEvent();
    if (!this->hasStreamBegun)
        this->beginStream();
    if (!rest.empty())
        this->exchange->write(rest);
    this->attempt->memory->resize(this->exchange->unsentBytes());
    this->exchange->finish(this->attempt->memory);
    this->exonerate();
    logEvent(Event::RequestAnswered, this->request.id,
        "events=" + std::to_string(this->events.eventCount()) + " framing=" + framingText(this->attempt->head->framing)
            + " took_ms=" + millisecondsText(this->context.clock.now() - this->arrivedAt));
    this->closeAttempt(Observation::Answered);
    this->finish();
}

void ProxiedRequest::deliverBufferedAnswer()
{
    const int status = this->attempt->head->status;
    if (!this->attempt->headers.isSigned) {
        // Without a signature, the answer cannot be forwarded as the upstream's.
        logEvent(Event::AttemptFinished, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamGeneration
                + " unsigned answer, status=" + std::to_string(status));
        this->closeAttempt(Observation::Failed);
        ++this->runs;
        this->fail(ResultCode::UpstreamFailed, std::nullopt);
        return;
    }
    Web::HttpReply reply = PlatformAdapter::encodeAnswerHead(*this->attempt->head);
    reply.body = std::move(this->attempt->body);
    reply.attachment = this->attempt->memory;
    reply.closesConnection = this->context.isShuttingDown();
    this->exchange->respond(std::move(reply));
    this->exonerate();
    this->closeAttempt(status >= firstServerErrorStatus ? Observation::Failed : Observation::Answered);
    const Duration took = this->context.clock.now() - this->arrivedAt;
    this->context.metrics.observe(
        "bluebell_answer_ms", "route=\"" + this->route->name + "\"", Foundation::toSeconds(took) * 1e3);
    logEvent(Event::RequestAnswered, this->request.id,
        "status=" + std::to_string(status) + " took_ms=" + millisecondsText(took));
    this->finish();
}

void ProxiedRequest::closeAttempt(std::optional<Observation> observation)
{
    if (!this->attempt)
        return;
    const Attempt closed = std::move(*this->attempt);
    this->attempt.reset();
    this->currentAttemptNumber = ++this->lastAttemptNumber;
    this->criteria.triedGenerations.insert(closed.assignment.upstreamGeneration);
    this->releaseAttempt(closed, observation);
}

void ProxiedRequest::releaseAttempt(const Attempt& closed, std::optional<Observation> observation)
{
    if (closed.call != 0 && !closed.isWatched)
        this->context.transfers.cancel(closed.call);
    if (closed.memoryReservation != 0)
        this->context.memoryLeases.release(closed.memoryReservation);
    this->context.ledger.removeRequest(closed.assignment.dispatchedRequestId);
    if (observation)
        this->recordObservation(closed.assignment.upstreamGeneration, *observation);
    this->context.onLoadChanged(false);
}

void ProxiedRequest::recordObservation(const std::string& generation, Observation observation)
{
    const TimePoint now = this->context.clock.now();
    const bool isRefused = observation == Observation::Refused;
    // Attempts that ended before this one for other reasons may have met the same crash.
    if (isRefused || observation == Observation::Broken) {
        this->context.onUpstreamDown(generation);
        this->context.partCrashes.onUpstreamDown(generation);
    }
    if (!this->context.health.recordObservation(generation, observation, now))
        return;
    logEvent(Event::UpstreamLeftOut, this->request.id,
        "upstream=" + generation + " observation=" + std::to_string(static_cast<int>(observation)));
    // Only failed connection attempts are published: a single connection may break for unrelated reasons.
    if (observation == Observation::Unreachable || isRefused)
        this->context.onUpstreamEjected({ generation,
            Foundation::toMilliseconds(this->context.health.ejectionTimeLeft(generation, now)), false, isRefused });
}

Relay::RequestProgress ProxiedRequest::progressAfter(RunOutcome outcome) const
{
    Relay::RequestProgress progress;
    progress.outcome = outcome;
    progress.isRepeatable = this->route->isRepeatable();
    progress.hasDelivered = this->hasStreamBegun;
    progress.canResume = !this->events.lastEventId().empty();
    progress.runs = this->runs + (outcome == RunOutcome::NotRun ? 0 : 1);
    progress.maximumRuns = this->route->maximumRuns;
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
    this->context.metrics.countRetry(code);
    logEvent(action == FailoverAction::Resume ? Event::RequestResumed : Event::RequestRetried, this->request.id,
        std::string("reason=") + std::string(Foundation::resultCodeEntry(code).name)
            + " runs=" + std::to_string(this->runs) + " sends=" + std::to_string(this->sends)
            + " last_event=" + this->events.lastEventId());
    if (action == FailoverAction::Resume)
        this->events.beginResumedStream();
    else
        this->events.discardPartialEvent();
    this->dispatch();
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
    reply.closesConnection = this->context.isShuttingDown();
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
    if (this->queuedPromptId != 0)
        this->context.dispatcher.withdraw(this->queuedPromptId);
    this->queuedPromptId = 0;
    this->withdrawPermitRequest();
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
            if (this->isUpstreamSilent(now))
                this->watchSilentAttempt(*this->attempt, this->currentAttemptNumber);
            ++this->runs;
            this->closeAttempt(Observation::Failed);
        }
        this->fail(mayHaveRun ? ResultCode::DeadlineExceeded : ResultCode::DeadlineUnreachable, defaultRetryAfter);
        return;
    }
    this->logIfLate(now);
    this->checkParkedAttempts(now);
    if (this->nextPermitRequestAt && now >= *this->nextPermitRequestAt)
        this->dispatch();
    if (this->hasEnded || !this->attempt)
        return;
    this->updateDoubt(now);
    if (this->attempt->isRejected()) {
        if (now - this->attempt->lastProgressAt >= rejectionBodyTimeout)
            this->onRejected();
        return;
    }
    if (this->attempt->doubtfulSince || (!this->attempt->isPaused && this->isUpstreamSilent(now)))
        this->handleSilence(now);
}

void ProxiedRequest::handleSilence(TimePoint now)
{
    if (now < this->attempt->failoverNotBefore)
        return;
    // Silence is too little to run a suspect elsewhere.
    const bool isSuspect = !this->isUpstreamDoubtful(*this->attempt)
        && this->context.suspects.status(this->fingerprint) != Quarantine::QuarantineStatus::Clear;
    const FailoverAction action
        = isSuspect ? FailoverAction::Fail : Relay::chooseFailoverAction(this->progressAfter(RunOutcome::MayHaveRun));
    const Relay::SilentAttempt silent = this->describeSilence(*this->attempt, now, action);
    const Relay::SilenceDecision decision = Relay::decideOnSilence(
        silent, [this] { return this->context.dispatcher.hasRoom(this->makeNextPrompt()); },
        [this, now] { return this->trySpendRetry(now); });
    if (decision.action == SilenceAction::Wait)
        return;
    if (decision.action == SilenceAction::Keep) {
        this->keepSilentAttempt(decision.reason);
        return;
    }
    if (decision.action == SilenceAction::Release) {
        this->releaseMemoryOfPausedAttempt();
        return;
    }
    const bool failsOver = decision.action == SilenceAction::FailOver;
    this->recordUnansweredAttempt(failsOver ? "silent" : "upstream ended");
    // Memory that is reserved elsewhere is not kept for an answer that may not come.
    const bool canPark = failsOver && this->attempt->memoryReservation == 0;
    if (canPark) {
        this->parkSilentAttempt();
    } else {
        if (failsOver)
            this->watchSilentAttempt(*this->attempt, this->currentAttemptNumber);
        this->closeAttempt(Observation::Silent);
    }
    ++this->runs;
    this->performFailoverAction(failsOver ? action : FailoverAction::Fail, ResultCode::UpstreamDown);
}

void ProxiedRequest::keepSilentAttempt(Relay::KeepReason reason)
{
    const TimePoint now = this->context.clock.now();
    const Duration silence = now - this->attempt->lastDataAt;
    if (!std::exchange(this->attempt->isKeptLogged, true))
        logEvent(Event::AttemptSilent, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamGeneration + " silent_ms=" + millisecondsText(silence)
                + " reason=" + Relay::keepReasonText(reason));
    if (now >= this->crashSuspectedFrom(*this->attempt) && !std::exchange(this->attempt->isCrashRecorded, true))
        this->recordCrash(Quarantine::CrashCertainty::Suspected, "silent");
}

void ProxiedRequest::releaseMemoryOfPausedAttempt()
{
    const Duration silence = this->context.clock.now() - this->attempt->lastDataAt;
    logEvent(Event::AttemptSilent, this->request.id,
        "upstream=" + this->attempt->assignment.upstreamGeneration + " silent_ms=" + millisecondsText(silence)
            + " reason=the upstream has ended, and the caller still receives what it sent");
    if (!std::exchange(this->attempt->isCrashRecorded, true))
        this->recordCrash(Quarantine::CrashCertainty::Suspected, "upstream ended");
    this->context.memoryLeases.release(std::exchange(this->attempt->memoryReservation, 0));
    this->attempt->doubtfulSince.reset();
}

void ProxiedRequest::updateDoubt(TimePoint now)
{
    if (this->attempt->memoryReservation == 0)
        return;
    if (!this->isUpstreamDoubtful(*this->attempt)) {
        this->attempt->doubtfulSince.reset();
        return;
    }
    if (!this->attempt->doubtfulSince)
        this->attempt->doubtfulSince = now;
    if (this->attempt->nextStatusCheckAt && now >= *this->attempt->nextStatusCheckAt)
        this->checkUpstreamStatus();
}

void ProxiedRequest::checkUpstreamStatus()
{
    const Assignment& assignment = this->attempt->assignment;
    const Membership::Upstream* const listed = this->context.storeSynchronizer.directory().find(assignment.upstream);
    // Another generation under the same id would answer, too.
    if (listed && listed->generationId() != assignment.upstreamGeneration)
        return;
    this->attempt->nextStatusCheckAt.reset();
    Platform::HttpCall check = PlatformAdapter::makeStatusCheck(assignment.address, assignment.upstream);
    check.timeout = Relay::longestSoundSilence;
    check.connectTimeout = connectTimeout;
    check.connectionUse = Platform::ConnectionUse::Dedicated;
    this->context.transfers.fetch(std::move(check),
        [weak = this->weak_from_this(), attemptNumber = this->currentAttemptNumber](
            const Platform::HttpCallResult& result) {
            const auto self = weak.lock();
            if (!self || !self->attempt || self->currentAttemptNumber != attemptNumber)
                return;
            Attempt& checked = *self->attempt;
            const TimePoint now = self->context.clock.now();
            checked.nextStatusCheckAt = now + statusCheckInterval;
            if (!checked.doubtfulSince
                || !PlatformAdapter::isAnsweredBy(
                    result, checked.assignment.upstream, checked.assignment.upstreamGeneration))
                return;
            checked.doubtfulSince = now;
            if (!std::exchange(checked.isKeptLogged, true))
                logEvent(Event::AttemptSilent, self->request.id,
                    "upstream=" + checked.assignment.upstreamGeneration
                        + " reason=the upstream is doubtful but answers status checks");
        });
}

Relay::SilentAttempt ProxiedRequest::describeSilence(
    const Attempt& silent, TimePoint now, FailoverAction failover) const
{
    return { .silence = now - silent.lastDataAt,
        .stall = now - silent.lastProgressAt,
        .expectedSilence = this->expectedSilence(silent),
        .inactivityTimeout = this->inactivityTimeout(silent),
        .isUpstreamDoubtful = this->isUpstreamDoubtful(silent),
        .doubt = now - silent.doubtfulSince.value_or(now),
        .holdsMemoryElsewhere = silent.memoryReservation != 0,
        .isPaused = silent.isPaused,
        .failover = failover,
        .canQueue = this->context.dispatcher.isEngineService(this->criteria.service) };
}

void ProxiedRequest::watchSilentAttempt(Attempt& silent, std::uint64_t number)
{
    const std::optional<std::string> crash = this->crashName(silent);
    const TimePoint countsFrom = this->crashSuspectedFrom(silent);
    const bool isDecided = !crash || this->context.clock.now() >= countsFrom;
    if (silent.call == 0 || silent.isRejected() || isDecided)
        return;
    const Quarantine::CrashNotice notice { this->fingerprint, *crash, Quarantine::CrashCertainty::Possible };
    silent.isWatched
        = this->context.silenceWatch.add({ silent.call, silent.assignment.upstreamGeneration, notice, countsFrom });
    if (silent.isWatched)
        this->watchedCalls[number] = silent.call;
}

void ProxiedRequest::recordUnansweredAttempt(std::string_view ending)
{
    // A call of 0 means that the attempt still reserves memory, so no upstream has received it.
    if (this->attempt->call == 0 || this->attempt->isRejected())
        return;
    const TimePoint now = this->context.clock.now();
    const Duration silence = now - this->attempt->lastDataAt;
    logEvent(Event::AttemptFinished, this->request.id,
        "upstream=" + this->attempt->assignment.upstreamGeneration + " ending=" + std::string(ending)
            + " silent_ms=" + millisecondsText(silence) + " fingerprint=" + this->fingerprint);
    const bool looksLikeCrash = now >= this->crashSuspectedFrom(*this->attempt)
        || Relay::hasUpstreamEnded(this->describeSilence(*this->attempt, now, FailoverAction::Fail));
    this->recordCrash(
        looksLikeCrash ? Quarantine::CrashCertainty::Suspected : Quarantine::CrashCertainty::Possible, ending);
}

bool ProxiedRequest::isUpstreamDoubtful(const Attempt& silent) const
{
    const std::string& generation = silent.assignment.upstreamGeneration;
    return this->context.storeSynchronizer.directory().hasEndedUnexpectedly(generation)
        || this->context.health.hasRefusedSince(generation, silent.sentAt);
}

bool ProxiedRequest::isUpstreamSilent(TimePoint now) const
{
    const Duration silence = now - this->attempt->lastDataAt;
    // A doubtful upstream need not be late by much to be taken as down.
    return now - this->attempt->lastProgressAt >= this->inactivityTimeout(*this->attempt)
        || (silence >= this->expectedSilence(*this->attempt) && this->isUpstreamDoubtful(*this->attempt));
}

bool ProxiedRequest::isLate(const Attempt& silent) const
{
    return this->context.clock.now() - silent.lastDataAt >= this->expectedSilence(silent);
}

TimePoint ProxiedRequest::crashSuspectedFrom(const Attempt& silent) const
{
    // What a doubtful upstream sent before its end says nothing.
    const auto lastUpstreamDataAt = this->isUpstreamDoubtful(silent)
        ? std::nullopt
        : this->context.health.lastDataAt(silent.assignment.upstreamGeneration);
    return Relay::crashSuspectedFrom(silent.lastDataAt, this->crashSilence(silent), lastUpstreamDataAt);
}

Duration ProxiedRequest::crashSilence(const Attempt& silent) const
{
    if (this->isUpstreamDoubtful(silent))
        return std::max(this->expectedSilence(silent), Relay::longestSoundSilence);
    // Beside its silence, an upstream may take twice as long as expected.
    Duration work = this->route->eventGapTarget;
    if (this->route->kind != RequestKind::Stream)
        work = this->route->firstEventTarget;
    else if (silent.isPrefilling)
        work = 2 * silent.assignment.expectedFirstEventDelay;
    return std::max(this->inactivityTimeout(silent), work + Relay::longestSoundSilence);
}

Duration ProxiedRequest::expectedSilence(const Attempt& silent) const
{
    if (this->route->kind != RequestKind::Stream)
        return std::max(minimumCallInactivityTimeout, this->route->firstEventTarget);
    if (!silent.isPrefilling)
        return this->route->eventGapTarget + eventGapAllowance;
    return silent.assignment.expectedFirstEventDelay + firstEventAllowance;
}

Duration ProxiedRequest::inactivityTimeout(const Attempt& silent) const
{
    if (this->route->kind != RequestKind::Stream)
        return std::max(minimumCallInactivityTimeout, 2 * this->route->firstEventTarget);
    if (!silent.isPrefilling)
        return 2 * this->route->eventGapTarget + eventGapAllowance;
    const Assignment& assignment = silent.assignment;
    if (assignment.helpers.empty())
        return 2 * assignment.expectedFirstEventDelay + firstEventAllowance;
    // Failing over repeats the prefill on as many engines and would hardly meet the first-event target, so wait longer.
    return std::max(2 * assignment.expectedFirstEventDelay, this->route->firstEventTarget) + helperFailureAllowance;
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

void ProxiedRequest::withdrawPermitRequest()
{
    this->context.permits.withdraw(std::exchange(this->permitRequestId, 0));
    this->nextPermitRequestAt.reset();
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
    if (this->queuedPromptId != 0)
        return "queue";
    if (this->permitRequestId != 0 || this->nextPermitRequestAt)
        return "permit";
    if (!this->attempt)
        return "nothing";
    if (this->attempt->call == 0)
        return "memory";
    return this->attempt->isPaused ? "caller" : "upstream";
}

void ProxiedRequest::recordHelperFailure(const std::string& address)
{
    const Membership::Upstream* const helper = this->context.storeSynchronizer.directory().findByAddress(address);
    if (!helper)
        return;
    const std::string generation = helper->generationId();
    const TimePoint now = this->context.clock.now();
    this->context.health.recordObservation(generation, Observation::Unreachable, now);
    const Duration ejectionTime = this->context.health.recordHelpRefusal(generation, now);
    logEvent(Event::UpstreamLeftOut, this->request.id, "upstream=" + generation + " observation=cannot help");
    this->context.onUpstreamEjected({ generation, Foundation::toMilliseconds(ejectionTime), true });
}

void ProxiedRequest::recordCrash(Quarantine::CrashCertainty certainty, std::string_view ending)
{
    this->recordCrash(*this->attempt, certainty, ending);
}

void ProxiedRequest::recordCrash(const Attempt& crashed, Quarantine::CrashCertainty certainty, std::string_view ending)
{
    const std::optional<std::string> crash = this->crashName(crashed);
    if (!crash)
        return;
    this->recordPartCrash(crashed, *crash, certainty);
    const Quarantine::CrashNotice notice { this->fingerprint, *crash, certainty };
    if (!this->context.suspects.record(notice))
        return;
    this->context.onSuspects({ notice });
    if (certainty == Quarantine::CrashCertainty::Possible)
        return;
    this->context.metrics.counter("bluebell_suspects_total", "ending=\"" + std::string(ending) + "\"").fetch_add(1);
    logEvent(Event::SuspectAdded, this->request.id,
        "fingerprint=" + this->fingerprint + " crash=" + *crash + " ending=" + std::string(ending)
            + " certainty=" + std::to_string(static_cast<int>(certainty))
            + " crashes=" + std::to_string(this->context.suspects.crashCount(this->fingerprint)));
}

void ProxiedRequest::recordPartCrash(
    const Attempt& crashed, const std::string& crash, Quarantine::CrashCertainty certainty)
{
    // A call of 0 means that no upstream has received the attempt.
    if (crashed.call == 0)
        return;
    this->context.partCrashes.onAttemptLost(
        { crash, certainty, crashed.lastDataAt, this->context.clock.now(), this->request.sharedPromptParts });
}

void ProxiedRequest::announceSuspect()
{
    if (this->context.suspects.status(this->fingerprint) != Quarantine::QuarantineStatus::Clear)
        this->recordCrash(Quarantine::CrashCertainty::Possible, "announced");
}

void ProxiedRequest::withdrawAnnouncement(const Attempt& notRun)
{
    const std::optional<std::string> crash = this->crashName(notRun);
    if (!crash)
        return;
    const Quarantine::CrashNotice notice { this->fingerprint, *crash, Quarantine::CrashCertainty::Possible };
    if (this->context.suspects.withdraw(notice))
        this->context.onSuspectWithdrawn(notice);
}

std::optional<std::string> ProxiedRequest::crashName(const Attempt& crashed) const
{
    return this->context.suspects.crashName(crashed.assignment.upstreamGeneration, crashed.sentAt);
}

void ProxiedRequest::exonerate()
{
    if (this->context.suspects.exonerate(this->fingerprint))
        this->context.onExonerated(this->fingerprint);
    // An upstream that fails a request may not have begun to write its answer.
    if (this->attempt->head->status < firstErrorStatus)
        this->context.partCrashes.onCompleted(this->request.sharedPromptParts);
}

} // namespace Gateway
