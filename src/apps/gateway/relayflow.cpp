#include "relayflow.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::ResultCode;
using Foundation::RunOutcome;
using Foundation::TimePoint;
using Policy::RequestKind;
using Relay::NextMove;
using Relay::Observation;

// For callers that do not say how long they wait; the route's own timeout is usually shorter.
constexpr Duration longestPatience = std::chrono::seconds(60);
// The handshake takes a few ms; an upstream that does not answer it is down or cut off.
constexpr Duration connectTimeout = std::chrono::milliseconds(300);
constexpr std::chrono::milliseconds unacknowledgedTimeout { 1'500 };
// Upstreams close idle connections after some seconds; older ones are not used any more.
constexpr std::chrono::seconds maximumIdleAge { 2 };
// A prompt whose helper is gone stalls at the engine for 1.5 s before it is rejected there.
constexpr Duration helperSlack = std::chrono::milliseconds(1'800);
// A first event that comes so much later than expected will most likely not come.
constexpr Duration firstEventSlack = std::chrono::milliseconds(900);
// Pauses between events beyond twice what callers expect, and this.
constexpr Duration pauseSlack = std::chrono::milliseconds(700);
// A repeatable call of a plain service is tried elsewhere after twice its goal, and not sooner than this.
constexpr Duration leastCallSilence = std::chrono::milliseconds(250);
// When callers may come back after a refusal, if nothing better is known.
constexpr Duration usualRetryAfter = std::chrono::milliseconds(400);
// Another process takes requests while this one leaves, so callers may come back at once.
constexpr Duration leavingRetryAfter = std::chrono::milliseconds(30);
// Callers wait this long in any case. A prompt that can no longer be in time waits for a place for as much of it as its
// goal leaves; one with a longer goal is refused as soon as that is known.
constexpr Duration usualPatience = std::chrono::seconds(2);
constexpr Duration suspectRetryAfter = std::chrono::seconds(10);
constexpr int firstServerError = 500;
constexpr int firstError = 300;
constexpr int ok = 200;

Duration jittered(Duration duration)
{
    return std::chrono::milliseconds(Foundation::jittered(Foundation::toMilliseconds(duration)));
}

std::string msText(Duration duration) { return std::to_string(Foundation::toMilliseconds(duration)); }

std::string namesOf(const std::vector<AssignedHelper>& helpers)
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

} // namespace

RelayFlow::RelayFlow(FlowContext& context, std::shared_ptr<Web::HttpExchange> exchange)
    : context(context)
    , exchange(std::move(exchange))
{
}

void RelayFlow::start()
{
    this->arrived = this->context.clock.now();
    this->lastDelivered = this->arrived;
    this->request = PlatformAdapter::decodeCallerRequest(this->exchange->request());
    this->deadline = this->arrived + this->request.patience.value_or(longestPatience);
    this->exchange->onGone([weak = this->weak_from_this()] {
        if (const auto flow = weak.lock())
            flow->onCallerGone();
    });
    if (this->context.isLeaving()) {
        this->fail(ResultCode::ShuttingDown, leavingRetryAfter);
        return;
    }
    if (!this->findRoute())
        return;
    this->deadline = std::min(this->deadline, this->arrived + this->route->timeout);
    this->context.retries.noteRequest(this->demand.service, this->arrived);
    this->context.metrics
        .counter("bluebell_requests_total", std::string("kind=\"") + kindText(this->route->kind) + "\"")
        .fetch_add(1);
    logEvent(Event::RequestAccepted, this->request.id,
        "route=" + this->route->name + " service=" + this->demand.service
            + " policy=" + std::to_string(this->policy->version()) + " time_left_ms=" + msText(this->timeLeft())
            + " prompt_tokens=" + std::to_string(this->request.promptTokens));
    if (!this->isSuspect())
        this->dispatch();
}

bool RelayFlow::findRoute()
{
    this->policy = this->context.knowledge.policy();
    if (!this->policy) {
        this->fail(ResultCode::NoConfiguration, usualRetryAfter);
        return false;
    }
    this->route = this->policy->findRoute(this->request.host, this->exchange->request().path);
    if (!this->route) {
        // A newer document, not read here yet, may have the route.
        if (this->context.knowledge.maybeOutdated())
            this->fail(ResultCode::StaleKnowledge, usualRetryAfter);
        else
            this->fail(ResultCode::UnknownPath, std::nullopt);
        return false;
    }
    if (!this->findAccount(*this->policy))
        return false;
    const double draw = static_cast<double>(Foundation::hashOf(this->request.id) >> 11) * 0x1.0p-53;
    this->demand.service = Policy::chooseService(*this->route, draw);
    this->demand.regions = this->route->regions;
    if (this->account && !this->account->regions.empty()) {
        if (this->demand.regions.empty())
            this->demand.regions = this->account->regions;
        else
            std::erase_if(this->demand.regions, [this](const std::string& region) {
                return std::ranges::find(this->account->regions, region) == this->account->regions.end();
            });
    }
    return true;
}

bool RelayFlow::findAccount(const Policy::TrafficPolicy& inForce)
{
    if (!inForce.hasAccounts() || this->route->isPublic)
        return true;
    if (!this->context.knowledge.mayAcceptKeys()) {
        this->fail(ResultCode::StaleKnowledge, usualRetryAfter);
        return false;
    }
    this->account = inForce.findAccount(this->request.key);
    if (this->account)
        return true;
    if (this->context.knowledge.maybeOutdated())
        this->fail(ResultCode::StaleKnowledge, usualRetryAfter);
    else
        this->fail(ResultCode::UnknownAccount, std::nullopt);
    return false;
}

bool RelayFlow::isSuspect()
{
    const Web::HttpRequest& source = this->exchange->request();
    const std::string caller = this->account ? this->account->name : std::string();
    this->fingerprint
        = std::to_string(Foundation::hashOf(source.body, Foundation::hashOf(source.target + "\n" + caller)));
    if (this->context.suspects.standingOf(this->fingerprint) != Quarantine::Standing::Quarantined)
        return false;
    logEvent(Event::RequestQuarantined, this->request.id, "fingerprint=" + this->fingerprint);
    this->fail(ResultCode::CrashSuspected, suspectRetryAfter);
    return true;
}

void RelayFlow::dispatch()
{
    if (this->context.dispatcher.isEngineService(this->demand.service)) {
        this->enqueuePrompt();
        return;
    }
    const auto assignment = this->context.dispatcher.assignCall(this->demand);
    if (assignment)
        this->begin(*assignment);
    else
        this->fail(this->sends == 0 ? ResultCode::NoUpstream : ResultCode::UpstreamRejected, usualRetryAfter);
}

void RelayFlow::enqueuePrompt()
{
    PromptTicket ticket;
    ticket.call = this->demand;
    ticket.prompt.demand.promptTokens = this->request.promptTokens;
    ticket.prompt.demand.outputTokens = this->request.maximumOutputTokens;
    ticket.prompt.demand.gap = this->route->gapTarget;
    ticket.prompt.goalAt
        = this->hasBegun ? this->lastDelivered + this->route->gapTarget : this->arrived + this->route->goal;
    ticket.prompt.goal = this->route->goal;
    ticket.prompt.patienceEnd
        = std::min(this->deadline, this->lastDelivered + PlatformAdapter::streamPatience(*this->route));
    ticket.prompt.lateWait
        = this->hasBegun ? this->timeLeft() : std::max(Duration::zero(), usualPatience - this->route->goal);
    ticket.prompt.priority
        = this->account && this->account->priority ? *this->account->priority : this->route->priority;
    const std::weak_ptr<RelayFlow> weak = this->weak_from_this();
    ticket.onAssigned = [weak](const Assignment& assignment) {
        const auto flow = weak.lock();
        if (!flow)
            return;
        flow->waiting = 0;
        flow->begin(assignment);
    };
    ticket.onRefused = [weak](ResultCode code, Duration retryAfter) {
        const auto flow = weak.lock();
        if (!flow)
            return;
        flow->waiting = 0;
        flow->fail(code, retryAfter);
    };
    this->waiting = this->context.dispatcher.enqueue(std::move(ticket));
    this->context.dispatcher.review();
}

void RelayFlow::begin(const Assignment& assignment)
{
    ++this->attemptNumber;
    this->attempt.emplace();
    this->attempt->assignment = assignment;
    this->attempt->sent = this->context.clock.now();
    this->attempt->lastData = this->attempt->sent;
    const bool needsMemory
        = std::ranges::any_of(assignment.helpers, [](const AssignedHelper& helper) { return helper.heldTokens > 0; });
    if (needsMemory)
        this->reserveMemory();
    else
        this->send({});
    this->context.onLoadChanged(true);
}

void RelayFlow::reserveMemory()
{
    std::vector<MemoryNeed> needs;
    for (const AssignedHelper& helper : this->attempt->assignment.helpers) {
        if (helper.heldTokens > 0)
            needs.push_back({ helper.upstream, helper.address, helper.heldTokens });
    }
    const std::weak_ptr<RelayFlow> weak = this->weak_from_this();
    const std::uint64_t number = this->attemptNumber;
    this->attempt->memory = this->context.memory.reserve(needs, [weak, number](const std::vector<std::string>& names) {
        const auto flow = weak.lock();
        if (!flow || !flow->attempt || flow->attemptNumber != number)
            return;
        if (!names.empty()) {
            flow->send(names);
            return;
        }
        logEvent(Event::AttemptRefused, flow->request.id,
            "upstream=" + flow->attempt->assignment.upstreamRun + " reason=memory was not set aside");
        flow->closeAttempt(std::nullopt);
        flow->onAttemptFailed(RunOutcome::NotRun, ResultCode::MemoryFull, false);
    });
}

PlatformAdapter::Forwarding RelayFlow::forwardingOf(const std::vector<std::string>& ticketNames) const
{
    const Assignment& assignment = this->attempt->assignment;
    PlatformAdapter::Forwarding forwarding;
    forwarding.upstream = assignment.upstream;
    forwarding.account = this->account ? this->account->name : std::string();
    forwarding.timeLeft = this->timeLeft();
    std::size_t used = 0;
    for (const AssignedHelper& helper : assignment.helpers) {
        const std::string_view ticket = helper.heldTokens > 0 ? ticketNames.at(used++) : std::string_view();
        forwarding.helpers.push_back(PlatformAdapter::encodeHelper(helper.address, ticket));
    }
    if (this->hasBegun)
        forwarding.resumeAfter = this->events.lastId();
    return forwarding;
}

void RelayFlow::send(const std::vector<std::string>& ticketNames)
{
    const Web::HttpRequest& source = this->exchange->request();
    const Assignment& assignment = this->attempt->assignment;
    ++this->sends;
    Platform::HttpCall call;
    call.method = source.method;
    call.url = "http://" + assignment.address + source.target;
    call.headers = PlatformAdapter::encodeForwarding(source, this->forwardingOf(ticketNames));
    call.body = source.body;
    call.timeout = this->timeLeft() + std::chrono::milliseconds(100);
    call.connectTimeout = connectTimeout;
    call.unacknowledgedTimeout = unacknowledgedTimeout;
    call.maximumIdleAge = maximumIdleAge;
    if (!this->route->isRepeatable()) {
        call.resend = Platform::Resend::Never;
        call.connectionUse = Platform::ConnectionUse::Own;
    }
    const std::shared_ptr<RelayFlow> self = this->shared_from_this();
    const std::uint64_t number = this->attemptNumber;
    this->attempt->call = this->context.transfers.stream(std::move(call),
        { [self, number](Platform::AnswerStart head) { self->onHead(number, std::move(head)); },
            [self, number](const std::string& data) { self->onData(number, data); },
            [self, number](const Platform::HttpCallResult& result) { self->onEnd(number, result); } });
    logEvent(Event::RequestPlaced, this->request.id,
        "upstream=" + assignment.upstreamRun + " helpers=" + std::to_string(assignment.helpers.size()) + " holders="
            + std::to_string(ticketNames.size()) + " waited_ms=" + msText(this->attempt->sent - this->arrived)
            + " expected_ms=" + msText(assignment.firstEvent) + " send=" + std::to_string(this->sends)
            + " read_by=" + namesOf(assignment.helpers));
}

void RelayFlow::onHead(std::uint64_t number, Platform::AnswerStart head)
{
    if (!this->attempt || number != this->attemptNumber)
        return;
    this->attempt->lastData = this->context.clock.now();
    this->attempt->facts = PlatformAdapter::decodeAnswer(head, this->request.id);
    const auto& facts = this->attempt->facts;
    const int status = head.status;
    this->attempt->head = std::move(head);
    const bool isTrue = facts.belongsToRequest && (status >= firstError || (facts.isSigned && !facts.isEncoded));
    if (!isTrue) {
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    this->attempt->isStream = this->route->kind == RequestKind::Stream && status == ok;
    // What comes instead of the rest of a stream is no part of the answer.
    if (this->hasBegun && !this->attempt->isStream && !facts.saysNotRun)
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::UpstreamFailed, true);
}

void RelayFlow::onData(std::uint64_t number, std::string_view data)
{
    if (!this->attempt || number != this->attemptNumber)
        return;
    this->attempt->lastData = this->context.clock.now();
    if (this->attempt->isStream)
        this->onStreamData(data);
    else
        this->attempt->body += data;
}

void RelayFlow::onStreamData(std::string_view data)
{
    std::string whole = this->events.take(data);
    if (this->events.isOutOfOrder()) {
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    if (whole.empty())
        return;
    this->noteFirstEvent();
    if (!this->hasBegun) {
        this->beginStream();
        this->context.metrics.observe("bluebell_first_event_ms", "route=\"" + this->route->name + "\"",
            Foundation::toSeconds(this->context.clock.now() - this->arrived) * 1e3);
    }
    this->lastDelivered = this->context.clock.now();
    this->exchange->write(std::move(whole));
}

void RelayFlow::beginStream()
{
    this->hasBegun = true;
    Web::HttpReply head = PlatformAdapter::encodeAnswerHead(*this->attempt->head);
    head.closesConnection = this->context.isStopping();
    this->exchange->beginStream(head);
}

void RelayFlow::noteFirstEvent()
{
    if (!this->attempt->isReading)
        return;
    this->attempt->isReading = false;
    const Assignment& assignment = this->attempt->assignment;
    const Duration seen = this->context.clock.now() - this->attempt->sent;
    this->context.health.noteDelay(assignment.upstreamRun, assignment.firstEvent, seen);
    this->context.ledger.noteReadingDone(assignment.job);
    logEvent(Event::AttemptStarted, this->request.id,
        "upstream=" + assignment.upstreamRun + " first_event_ms=" + msText(seen)
            + " expected_ms=" + msText(assignment.firstEvent));
    this->context.onLoadChanged(false);
}

void RelayFlow::onEnd(std::uint64_t number, const Platform::HttpCallResult& result)
{
    if (!this->attempt || number != this->attemptNumber)
        return;
    if (result.end == Platform::CallEnd::NotConnected) {
        this->closeAttempt(Observation::Unreachable);
        this->onAttemptFailed(RunOutcome::NotRun, ResultCode::UpstreamDown, false);
        return;
    }
    if (result.end == Platform::CallEnd::Broken || !this->attempt->head) {
        logEvent(Event::AttemptFinished, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamRun + " error=" + result.error);
        this->noteCrash();
        this->closeAttempt(Observation::Broken);
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    const auto& facts = this->attempt->facts;
    if (facts.saysNotRun) {
        const std::string run = this->attempt->assignment.upstreamRun;
        logEvent(Event::AttemptRefused, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamRun
                + " status=" + std::to_string(this->attempt->head->status) + " at=" + facts.faultyAddress);
        if (facts.isMisaddressed) {
            this->context.knowledge.directory().noteMisaddressed(this->attempt->assignment.upstream);
            logEvent(
                Event::UpstreamMisaddressed, this->request.id, "upstream=" + this->attempt->assignment.upstreamRun);
        }
        const std::string faultyAddress = facts.faultyAddress;
        const bool isFaultOfHelper
            = !faultyAddress.empty() && faultyAddress != this->attempt->assignment.address && !facts.isMisaddressed;
        if (isFaultOfHelper)
            this->noteFaultyHelper(faultyAddress);
        this->closeAttempt(facts.isMisaddressed ? Observation::Unreachable : Observation::Answered);
        if (isFaultOfHelper)
            this->demand.tried.erase(run);
        this->onAttemptFailed(RunOutcome::NotRun, ResultCode::UpstreamRejected, true);
        return;
    }
    if (this->attempt->isStream)
        this->deliverStreamEnd();
    else if (this->retriesFailure())
        this->onAttemptFailed(RunOutcome::Ran, ResultCode::UpstreamFailed, true);
    else
        this->deliverWhole();
}

bool RelayFlow::retriesFailure() const
{
    const bool isFailure = this->attempt->head->status >= firstServerError || !this->attempt->facts.isSigned;
    return isFailure && this->route->isRepeatable() && this->runs + 1 < this->route->maximumRuns
        && this->timeLeft() > 2 * this->route->goal;
}

void RelayFlow::deliverStreamEnd()
{
    const std::string rest = this->events.rest();
    if (!this->hasBegun)
        this->beginStream();
    if (!rest.empty())
        this->exchange->write(rest);
    this->exchange->finish();
    this->closeAttempt(Observation::Answered);
    logEvent(Event::RequestAnswered, this->request.id,
        "events=" + std::to_string(this->events.eventCount())
            + " took_ms=" + msText(this->context.clock.now() - this->arrived));
    this->finish();
}

void RelayFlow::deliverWhole()
{
    const int status = this->attempt->head->status;
    if (!this->attempt->facts.isSigned) {
        // Nobody vouches for this answer, so it cannot be passed on as the upstream's.
        logEvent(Event::AttemptFinished, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamRun + " unsigned status=" + std::to_string(status));
        this->closeAttempt(Observation::Failed);
        this->fail(ResultCode::UpstreamFailed, std::nullopt);
        return;
    }
    Web::HttpReply reply = PlatformAdapter::encodeAnswerHead(*this->attempt->head);
    reply.body = std::move(this->attempt->body);
    reply.closesConnection = this->context.isStopping();
    this->exchange->respond(std::move(reply));
    this->closeAttempt(status >= firstServerError ? Observation::Failed : Observation::Answered);
    const Duration took = this->context.clock.now() - this->arrived;
    this->context.metrics.observe(
        "bluebell_answer_ms", "route=\"" + this->route->name + "\"", Foundation::toSeconds(took) * 1e3);
    logEvent(Event::RequestAnswered, this->request.id, "status=" + std::to_string(status) + " took_ms=" + msText(took));
    this->finish();
}

void RelayFlow::closeAttempt(std::optional<Observation> observation)
{
    if (!this->attempt)
        return;
    const Attempt closed = std::move(*this->attempt);
    this->attempt.reset();
    ++this->attemptNumber;
    if (closed.call != 0)
        this->context.transfers.cancel(closed.call);
    if (closed.memory != 0)
        this->context.memory.release(closed.memory);
    this->context.ledger.end(closed.assignment.job);
    const std::string& run = closed.assignment.upstreamRun;
    const TimePoint now = this->context.clock.now();
    if (observation && this->context.health.note(run, *observation, now)) {
        logEvent(Event::UpstreamLeftOut, this->request.id,
            "upstream=" + run + " observation=" + std::to_string(static_cast<int>(*observation)));
        // A connection may break for reasons of its own; that there is none is worth telling.
        if (*observation == Observation::Unreachable)
            this->context.onUpstreamFailed(
                { run, Foundation::toMilliseconds(this->context.health.pauseLeft(run, now)), false });
    }
    this->demand.tried.insert(run);
    this->context.onLoadChanged(false);
}

Relay::RequestProgress RelayFlow::progressAfter(RunOutcome outcome) const
{
    Relay::RequestProgress progress;
    progress.outcome = outcome;
    progress.isRepeatable = this->route->isRepeatable();
    progress.hasDelivered = this->hasBegun;
    progress.canResume = !this->events.lastId().empty();
    progress.runs = this->runs + (outcome == RunOutcome::NotRun ? 0 : 1);
    progress.maximumRuns = this->route->maximumRuns;
    progress.sends = this->sends;
    progress.timeLeft = this->timeLeft();
    return progress;
}

void RelayFlow::onAttemptFailed(RunOutcome outcome, ResultCode code, bool hasArrived)
{
    this->closeAttempt(Observation::Failed);
    const Relay::RequestProgress progress = this->progressAfter(outcome);
    this->runs = progress.runs;
    NextMove move = Relay::nextMove(progress);
    const bool costs = hasArrived && move != NextMove::Fail;
    if (costs && !this->context.retries.trySpend(this->demand.service, this->context.clock.now())) {
        move = NextMove::Fail;
        this->context.metrics.countRefusal(ResultCode::RetryBudgetSpent);
    }
    this->goOn(move, code);
}

void RelayFlow::goOn(NextMove move, ResultCode code)
{
    if (move == NextMove::Fail) {
        // After a run of a request that may be repeated, nothing is promised.
        const bool mayHaveRun = this->runs > 0;
        const bool isTimeUp = this->timeLeft() <= Duration::zero();
        if (mayHaveRun)
            this->fail(isTimeUp ? ResultCode::DeadlineExceeded : code, std::nullopt);
        else
            this->fail(isTimeUp ? ResultCode::DeadlineUnreachable : ResultCode::UpstreamRejected, usualRetryAfter);
        return;
    }
    this->context.metrics.countRetry(code);
    logEvent(move == NextMove::Resume ? Event::RequestResumed : Event::RequestRetried, this->request.id,
        std::string("reason=") + std::string(Foundation::resultCodeEntry(code).name)
            + " runs=" + std::to_string(this->runs) + " sends=" + std::to_string(this->sends)
            + " last_event=" + this->events.lastId());
    if (move == NextMove::Resume)
        this->events.beginResumedRun();
    else
        this->events.dropRest();
    this->dispatch();
}

void RelayFlow::fail(ResultCode code, std::optional<Duration> retryAfter)
{
    if (this->hasEnded)
        return;
    this->closeAttempt(std::nullopt);
    const auto& entry = Foundation::resultCodeEntry(code);
    this->context.metrics.countRefusal(code);
    const std::string detail = std::string("code=") + std::string(entry.name)
        + " status=" + std::to_string(entry.httpStatus) + " runs=" + std::to_string(this->runs)
        + " sends=" + std::to_string(this->sends) + " took_ms=" + msText(this->context.clock.now() - this->arrived)
        + " policy=" + std::to_string(this->policy ? this->policy->version() : 0);
    if (this->hasBegun) {
        logEvent(Event::RequestBroken, this->request.id, detail);
        this->exchange->abort();
        this->finish();
        return;
    }
    if (this->runs > 0)
        retryAfter.reset();
    logEvent(Event::RequestRefused, this->request.id, detail);
    // A refusal promises that the request has not run; after a run it is the upstream's failure.
    const bool breaksPromise
        = this->runs > 0 && entry.httpStatus == Foundation::resultCodeEntry(ResultCode::NoUpstream).httpStatus;
    const int status
        = breaksPromise ? Foundation::resultCodeEntry(ResultCode::UpstreamFailed).httpStatus : entry.httpStatus;
    if (retryAfter)
        retryAfter = jittered(*retryAfter);
    Web::HttpReply reply = PlatformAdapter::encodeOwnAnswer(status, this->request.id, retryAfter, entry.name);
    reply.closesConnection = this->context.isStopping();
    this->exchange->respond(std::move(reply));
    this->finish();
}

void RelayFlow::onCallerGone()
{
    if (this->hasEnded)
        return;
    logEvent(Event::CallerLeft, this->request.id, "took_ms=" + msText(this->context.clock.now() - this->arrived));
    this->closeAttempt(std::nullopt);
    this->finish();
}

void RelayFlow::finish()
{
    if (this->hasEnded)
        return;
    this->hasEnded = true;
    if (this->waiting != 0)
        this->context.dispatcher.withdraw(this->waiting);
    this->waiting = 0;
    this->context.onEnded(*this);
}

void RelayFlow::check(TimePoint now)
{
    if (this->hasEnded || !this->route)
        return;
    if (now >= this->deadline) {
        const bool mayHaveRun = this->attempt || this->runs > 0;
        if (this->attempt) {
            ++this->runs;
            this->closeAttempt(Observation::Failed);
        }
        this->fail(mayHaveRun ? ResultCode::DeadlineExceeded : ResultCode::DeadlineUnreachable, usualRetryAfter);
        return;
    }
    if (!this->attempt || now - this->attempt->lastData < this->silenceLimit())
        return;
    // Silence alone is no reason to end an answer: the upstream may go on. It ends here only if it goes on elsewhere.
    const NextMove move = Relay::nextMove(this->progressAfter(RunOutcome::MayHaveRun));
    if (move == NextMove::Fail || !this->context.retries.trySpend(this->demand.service, now))
        return;
    logEvent(Event::AttemptFinished, this->request.id,
        "upstream=" + this->attempt->assignment.upstreamRun + " silent_ms=" + msText(now - this->attempt->lastData));
    this->closeAttempt(Observation::Broken);
    ++this->runs;
    this->goOn(move, ResultCode::UpstreamDown);
}

Duration RelayFlow::silenceLimit() const
{
    if (this->route->kind != RequestKind::Stream)
        return std::max(leastCallSilence, 2 * this->route->goal);
    if (!this->attempt->isReading)
        return 2 * this->route->gapTarget + pauseSlack;
    const Assignment& assignment = this->attempt->assignment;
    if (assignment.helpers.empty())
        return 2 * assignment.firstEvent + firstEventSlack;
    // Starting over costs all engines that read it as much again, and it would hardly be in time.
    return std::max(2 * assignment.firstEvent, this->route->goal) + helperSlack;
}

Duration RelayFlow::timeLeft() const { return this->deadline - this->context.clock.now(); }

void RelayFlow::noteFaultyHelper(const std::string& address)
{
    const Membership::Upstream* const helper = this->context.knowledge.directory().findByAddress(address);
    if (!helper)
        return;
    const std::string run = helper->runName();
    const TimePoint now = this->context.clock.now();
    this->context.health.note(run, Observation::Unreachable, now);
    const Duration pause = this->context.health.noteCannotHelp(run, now);
    logEvent(Event::UpstreamLeftOut, this->request.id, "upstream=" + run + " observation=cannot help");
    this->context.onUpstreamFailed({ run, Foundation::toMilliseconds(pause), true });
}

void RelayFlow::noteCrash()
{
    const Quarantine::CrashNotice notice { this->fingerprint, this->attempt->assignment.upstreamRun };
    if (!this->context.suspects.note(notice))
        return;
    logEvent(Event::SuspectAdded, this->request.id, "fingerprint=" + notice.fingerprint + " upstream=" + notice.crash);
    this->context.onSuspect(notice);
}

} // namespace Gateway
