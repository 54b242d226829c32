#include "agentcore.h"

#include <configuration/peerexchange.h>
#include <foundation/identifier.h>
#include <foundation/logging.h>
#include <foundation/mechanism.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Agent {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::isEnabled;
using Foundation::Mechanism;
using Foundation::ResultCode;
using Foundation::RunOutcome;
using Membership::Availability;

constexpr Duration tickInterval = std::chrono::milliseconds(20);
constexpr Duration instanceListInterval = std::chrono::seconds(1);
constexpr Duration cancelRetryDelay = std::chrono::milliseconds(200);
constexpr Duration retryAfterClaim = std::chrono::seconds(1);
constexpr Duration retryAfterFailure = std::chrono::milliseconds(200);
// The time between closing the connections and stopping the context.
constexpr Duration closeDelay = std::chrono::milliseconds(500);
constexpr int ticksBetweenCleanups = 50;
constexpr int checksBetweenStreamLists = 8;
constexpr int maximumResumes = 3;
constexpr int firstClientErrorStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr std::size_t maximumStoredAnswerBytes = 64 * 1024;

Foundation::ResultCode codeFor(ClaimReadiness readiness)
{
    switch (readiness) {
    case ClaimReadiness::Ready:
        return ResultCode::Ok;
    case ClaimReadiness::CatchingUp:
        return ResultCode::ClaimsCatchingUp;
    case ClaimReadiness::LogUnavailable:
        return ResultCode::ClaimLogUnavailable;
    case ClaimReadiness::WindowUncovered:
        return ResultCode::ClaimWindowUncovered;
    }
    return ResultCode::ClaimLogUnavailable;
}

// Returns the key under which an attempt must be claimed before it is dispatched; empty if it needs no claim. All
// trials of a suspect after one crash share a key, so that only one upstream of the system runs the suspect.
std::string claimKeyFor(const Wire::Offer& offer)
{
    if (!offer.repeatable)
        return "call/" + offer.account + "/" + offer.model + "/" + offer.idempotencyKey;
    if (!offer.suspectCrash.empty())
        return "trial/" + offer.fingerprint + "/" + offer.suspectCrash;
    return {};
}

} // namespace

/**
 * @class AgentCore
 * Controls all access to one upstream. The agent alone decides what runs there, from exact data; entries only offer
 * requests.
 */
AgentCore::AgentCore(asio::io_context& context, const Foundation::Clock& clock, AgentSettings agentSettings)
    : context(context)
    , clock(clock)
    , settings(std::move(agentSettings))
    , incarnation(Foundation::makeIdentifier())
    , transfers(context)
    , log(transfers, this->settings.process.logUrl)
    , instanceList(transfers, this->settings.process.instanceListUrl)
    , upstream(transfers, this->settings.upstreamUrl)
    , suspects(clock)
    , answerMemory(this->settings.process.answerMemoryBytes)
    , attempts(clock)
    , sessions(clock, this->settings.process.token, this->settings.process.connectionTimeout)
    , endpoint(context,
          {
              [this](Wire::ConnectionId connection) { this->sessions.open(connection); },
              [this](Wire::ConnectionId connection, Wire::Message message) {
                  this->onMessage(connection, std::move(message));
              },
              [this](Wire::ConnectionId connection) { this->onClosed(connection); },
          })
    , outbox(context, this->endpoint)
    , tickTimer(context)
    , instanceListTimer(context)
{
    this->monitor = std::make_shared<UpstreamMonitor>(context, this->upstream, this->settings.monitorInterval,
        UpstreamMonitorHandlers {
            [this](const std::string& generation) { this->onUpstreamGenerationEnded(generation); },
            [this] { this->onUpstreamChanged(); },
            [this] { this->onUpstreamChecked(); },
        });
    this->claims = std::make_shared<ClaimService>(context, this->log, this->incarnation,
        [this](const Idempotency::ClaimDecision& decision) { this->onClaimDecision(decision); });
    this->configurationFollower = std::make_shared<Platform::ConfigurationFollower>(
        context, this->log, [this](const Platform::ActiveConfigurationPtr& active) { this->onConfiguration(active); });
}

AgentCore::~AgentCore() = default;

Foundation::Result<void> AgentCore::start()
{
    const auto listening = this->endpoint.listen(this->settings.process.listenAddress, this->settings.wirePort);
    if (!listening)
        return listening.error();
    this->monitor->start();
    this->claims->start();
    this->configurationFollower->start();
    this->readInstanceList();
    this->tick();
    return boost::outcome_v2::success();
}

void AgentCore::shutDown()
{
    if (this->isShuttingDown)
        return;
    this->isShuttingDown = true;
    Foundation::logEvent(Event::ProcessStopping, "", "");
    this->updateAvailability();
    this->processQueue();
}

bool AgentCore::isReady() const { return this->availability == Availability::Available; }

std::string AgentCore::renderMetrics()
{
    this->metrics.setGauge("bluebell_attempts", "", static_cast<double>(this->attempts.size()));
    this->metrics.setGauge(
        "bluebell_configuration_version", "", static_cast<double>(this->configurationFollower->state().version));
    this->metrics.setGauge("bluebell_claim_keys", "", static_cast<double>(this->claims->keyCount()));
    this->metrics.setGauge("bluebell_claim_appends", "", static_cast<double>(this->claims->appendCount()));
    this->metrics.setGauge("bluebell_suspects", "", static_cast<double>(this->suspects.size()));
    if (!this->admission)
        return this->metrics.render();
    const Membership::UpstreamLoad load = this->admission->load();
    this->metrics.setGauge("bluebell_queue_requests", "", static_cast<double>(load.queued));
    this->metrics.setGauge("bluebell_running_requests", "", static_cast<double>(load.running));
    this->metrics.setGauge("bluebell_concurrent_limit", "", static_cast<double>(load.concurrentLimit));
    this->metrics.setGauge(
        "bluebell_memory_reserved_tokens", "", static_cast<double>(this->admission->memory().reservedTokens()));
    this->metrics.setGauge("bluebell_memory_capacity_tokens", "", static_cast<double>(load.capacityTokens));
    this->metrics.setGauge("bluebell_available", "", this->isReady() ? 1 : 0);
    return this->metrics.render();
}

void AgentCore::onMessage(Wire::ConnectionId connection, Wire::Message message)
{
    EntrySession* const session = this->sessions.find(connection);
    if (!session && !std::holds_alternative<Wire::Hello>(message)) {
        this->endpoint.close(connection);
        return;
    }
    if (session)
        session->lastReceivedAt = this->clock.now();
    std::visit([this, connection](auto& typed) { this->handle(connection, typed); }, message);
}

void AgentCore::onClosed(Wire::ConnectionId connection)
{
    const EntrySession* const session = this->sessions.find(connection);
    if (session)
        Foundation::logEvent(Event::EntryDisconnected, "", session->entry);
    this->sessions.close(connection);
    for (const AttemptPtr& attempt : this->attempts.all()) {
        if (attempt->connection != connection)
            continue;
        attempt->connection = 0;
        attempt->orphanedSince = this->clock.now();
    }
}

template <typename Other> void AgentCore::handle(Wire::ConnectionId, const Other&)
{
    // Ignores the messages that only agents send.
}

void AgentCore::handle(Wire::ConnectionId connection, const Wire::Hello& hello)
{
    if (const auto refusal = this->sessions.authenticate(connection, hello)) {
        Foundation::logEvent(Event::PeerRefused, "", Foundation::resultCodeEntry(*refusal).name);
        this->outbox.send(connection, Wire::Goodbye { *refusal });
        this->outbox.flush();
        this->endpoint.close(connection);
        return;
    }
    Foundation::logEvent(Event::EntryConnected, "", hello.entry);
    Wire::Welcome welcome;
    welcome.protocol = Wire::protocolVersion;
    welcome.instance = this->settings.process.instance;
    welcome.incarnation = this->incarnation;
    welcome.configurationVersion = this->configurationFollower->state().version;
    if (this->admission)
        welcome.load = this->admission->load();
    this->outbox.send(connection, welcome);
    const std::vector<Quarantine::CrashNotice> notices = this->suspects.notices();
    if (!notices.empty())
        this->outbox.send(connection, Wire::SuspectNotice { notices, {}, {}, {} });
    this->requestConfigurationIfBehind(connection, hello.configurationVersion);
}

void AgentCore::handle(Wire::ConnectionId connection, const Wire::Heartbeat& heartbeat)
{
    this->outbox.send(connection, Wire::Heartbeat { this->configurationFollower->state().version });
    this->requestConfigurationIfBehind(connection, heartbeat.configurationVersion);
    EntrySession* const session = this->sessions.find(connection);
    if (!this->admission || session->lastSentLoad == this->admission->load())
        return;
    session->lastSentLoad = this->admission->load();
    this->outbox.send(connection, Wire::LoadReport { session->lastSentLoad });
}

void AgentCore::handle(Wire::ConnectionId connection, const Wire::ConfigurationRequest& request)
{
    const nlohmann::json difference
        = Configuration::makeDifference(request.documentVersion, this->configurationFollower->state());
    this->outbox.send(connection, Wire::ConfigurationDifference { difference.dump() });
}

void AgentCore::handle(Wire::ConnectionId, const Wire::ConfigurationDifference& difference)
{
    const auto value = nlohmann::json::parse(difference.difference, nullptr, /* allow_exceptions */ false);
    const auto state = Configuration::applyDifference(this->configurationFollower->state(), value);
    if (state)
        this->configurationFollower->applyPeerState(state.value());
}

void AgentCore::handle(Wire::ConnectionId, const Wire::SuspectNotice& notice)
{
    for (const Quarantine::CrashNotice& crash : notice.crashes)
        this->suspects.record(crash);
    for (const std::string& fingerprint : notice.cleared)
        this->suspects.clear(fingerprint);
}

void AgentCore::handle(Wire::ConnectionId connection, Wire::Offer& offer)
{
    if (this->attempts.find(offer.attempt) || this->attempts.findEnded(offer.attempt))
        return;
    const std::string ownCrash
        = offer.kind == Wire::WorkKind::Prompt ? this->suspects.suspectCrash(offer.fingerprint) : "";
    if (offer.suspectCrash.empty())
        offer.suspectCrash = ownCrash;
    if (!isEnabled(Mechanism::Quarantine))
        offer.suspectCrash.clear();
    const auto attempt = std::make_shared<Attempt>();
    attempt->deadline = this->clock.now() + std::chrono::milliseconds(offer.budgetMs);
    attempt->connection = connection;
    attempt->entry = this->sessions.find(connection)->entry;
    attempt->body = std::move(offer.body);
    attempt->claimKey = claimKeyFor(offer);
    attempt->offer = std::move(offer);
    this->attempts.add(attempt);
    if (const auto refusal = this->admit(attempt->offer, attempt->deadline)) {
        this->refuse(attempt, refusal->code, RunOutcome::NotRun, refusal->retryAfter);
        return;
    }
    this->processQueue();
}

std::optional<Admission::Refusal> AgentCore::admit(const Wire::Offer& offer, Foundation::TimePoint deadline)
{
    if (!this->admission)
        return Admission::Refusal { ResultCode::NoConfiguration, std::chrono::seconds(1) };
    const bool isQuarantined = this->suspects.status(offer.fingerprint) == Quarantine::QuarantineStatus::Quarantined;
    if (isQuarantined && isEnabled(Mechanism::Quarantine))
        return Admission::Refusal { ResultCode::Quarantined, {} };
    const bool needsClaim = !offer.repeatable || !offer.suspectCrash.empty();
    if (needsClaim && this->claims->readiness() != ClaimReadiness::Ready)
        return Admission::Refusal { codeFor(this->claims->readiness()), std::chrono::seconds(1) };
    const Configuration::AccountDefinition* const account = this->configuration->document.findAccount(offer.account);
    if (!account)
        return Admission::Refusal { ResultCode::UnknownAccount, {} };
    Admission::OfferedRequest request;
    request.account = *account;
    request.outputTokens = offer.outputTokens;
    request.upstreamCount = offer.upstreamCount;
    request.suspicion = offer.suspectCrash.empty() ? Admission::Suspicion::None : Admission::Suspicion::Suspect;
    Admission::QueuedRequest& queued = request.queued;
    queued.attempt = offer.attempt;
    queued.account = offer.account;
    queued.accountWeight = account->weight;
    queued.promptTokens = offer.promptTokens;
    queued.memoryTokens = this->isEngine ? offer.promptTokens + offer.outputTokens : 0;
    queued.lengthClass = Configuration::lengthClassFor(this->configuration->document.limits, offer.promptTokens);
    queued.arrival = this->clock.now();
    queued.deadline = deadline;
    return this->admission->offer(request);
}

void AgentCore::handle(Wire::ConnectionId connection, Wire::BodyChunk& chunk)
{
    const AttemptPtr attempt = this->attempts.find(chunk.attempt);
    if (!attempt || attempt->phase != AttemptPhase::AwaitingBody || chunk.sequence != attempt->receivedBodyChunks)
        return;
    attempt->body += chunk.data;
    ++attempt->receivedBodyChunks;
    if (attempt->body.size() > attempt->offer.bodyBytes) {
        this->refuse(attempt, ResultCode::MalformedMessage, RunOutcome::NotRun, {});
        return;
    }
    this->outbox.send(connection, Wire::BodyAcknowledgement { attempt->id(), attempt->receivedBodyChunks });
    if (attempt->isBodyComplete())
        this->claimOrDispatch(attempt);
}

void AgentCore::handle(Wire::ConnectionId, const Wire::Cancel& cancel)
{
    const AttemptPtr attempt = this->attempts.find(cancel.attempt);
    if (!attempt) {
        if (!this->attempts.findEnded(cancel.attempt))
            this->attempts.end(cancel.attempt, { RunOutcome::NotRun, std::nullopt, nullptr, {} });
        return;
    }
    this->cancelAttempt(attempt, ResultCode::CallerGone);
}

void AgentCore::handle(Wire::ConnectionId connection, const Wire::Revoke& revoke)
{
    const AttemptPtr attempt = this->attempts.find(revoke.attempt);
    if (attempt && attempt->isDispatched()) {
        this->outbox.send(connection, Wire::RevokeResult { revoke.attempt, RunOutcome::MayHaveRun });
        return;
    }
    if (attempt)
        this->cancelAttempt(attempt, ResultCode::RevokedBeforeStart);
    // The offer may still be in flight. Recording the attempt as ended keeps it from starting when the offer arrives.
    if (!this->attempts.findEnded(revoke.attempt))
        this->attempts.end(revoke.attempt, { RunOutcome::NotRun, std::nullopt, nullptr, {} });
    const RunOutcome outcome = this->attempts.findEnded(revoke.attempt)->outcome;
    this->outbox.send(connection, Wire::RevokeResult { revoke.attempt, outcome });
}

void AgentCore::handle(Wire::ConnectionId connection, const Wire::Resume& resume)
{
    const AttemptPtr attempt = this->attempts.find(resume.attempt);
    if (attempt) {
        attempt->connection = connection;
        attempt->answer.rewind(resume.nextSequence, resume.hasHead);
        this->sendAnswer(attempt);
        return;
    }
    EndedAttempt* const ended = this->attempts.findEnded(resume.attempt);
    if (ended && ended->answeredAttempt) {
        ended->answeredAttempt->connection = connection;
        ended->answeredAttempt->answer.rewind(resume.nextSequence, resume.hasHead);
        this->sendAnswer(ended->answeredAttempt);
        this->outbox.send(connection, ended->answeredAttempt->answer.makeEnd(resume.attempt));
        return;
    }
    Wire::Refused refused { resume.attempt, ResultCode::AnswerIncomplete, RunOutcome::MayHaveRun, 0, "", {} };
    if (ended && ended->refusal)
        refused = *ended->refusal;
    this->outbox.send(connection, refused);
}

// Refuses the queued attempts that can no longer start, and continues those whose resources have become free.
void AgentCore::processQueue()
{
    if (!this->admission)
        return;
    for (const Admission::ExpiredRequest& expired : this->admission->removeExpired()) {
        if (const AttemptPtr attempt = this->attempts.find(expired.attempt))
            this->refuse(attempt, expired.refusal.code, RunOutcome::NotRun, expired.refusal.retryAfter);
    }
    for (const Admission::QueuedRequest& request : this->admission->startReadyRequests()) {
        const AttemptPtr attempt = this->attempts.find(request.attempt);
        if (!attempt) {
            this->admission->revertStart(request.attempt);
            continue;
        }
        const bool isFair = this->configuration->document.policies.queue == Configuration::QueuePolicy::Fair;
        attempt->priority = isFair ? static_cast<int>(request.lengthClass) : 0;
        this->collectBody(attempt);
    }
}

// Continues with the claim if the body came with the offer, else grants the attempt so that the entry sends the body.
void AgentCore::collectBody(const AttemptPtr& attempt)
{
    attempt->phase = AttemptPhase::AwaitingBody;
    if (attempt->isBodyComplete())
        this->claimOrDispatch(attempt);
    else if (attempt->connection != 0)
        this->outbox.send(attempt->connection, Wire::Granted { attempt->id() });
}

void AgentCore::claimOrDispatch(const AttemptPtr& attempt)
{
    if (attempt->claimKey.empty() || !isEnabled(Mechanism::Claims))
        this->dispatch(attempt);
    else
        this->requestClaim(attempt);
}

void AgentCore::requestClaim(const AttemptPtr& attempt)
{
    attempt->phase = AttemptPhase::Claiming;
    const auto decision = this->claims->request({ attempt->claimKey, attempt->id(), attempt->offer.fingerprint });
    if (decision)
        this->onClaimDecision(*decision);
}

void AgentCore::onClaimDecision(const Idempotency::ClaimDecision& decision)
{
    using Idempotency::ClaimOutcome;
    const AttemptPtr attempt = this->attempts.find(decision.attempt);
    if (!attempt || attempt->phase != AttemptPhase::Claiming)
        return;
    const bool isTrial = attempt->offer.repeatable;
    switch (decision.outcome) {
    case ClaimOutcome::Won:
        Foundation::logEvent(Event::ClaimWon, attempt->offer.request, attempt->claimKey);
        this->dispatch(attempt);
        return;
    case ClaimOutcome::Answered:
        this->sendStoredAnswer(attempt, *decision.answer);
        return;
    case ClaimOutcome::OwnedByOther:
        Foundation::logEvent(Event::ClaimLost, attempt->offer.request, attempt->claimKey);
        if (isTrial)
            this->refuse(attempt, ResultCode::SuspectWaiting, RunOutcome::NotRun, retryAfterClaim);
        else
            this->refuse(attempt, ResultCode::ClaimedElsewhere, RunOutcome::MayHaveRun, retryAfterClaim);
        return;
    case ClaimOutcome::DifferentRequest:
        this->refuse(attempt, ResultCode::IdempotencyKeyReused, RunOutcome::NotRun, {});
        return;
    case ClaimOutcome::Abandoned:
        this->refuse(attempt, ResultCode::ClaimLogUnavailable, RunOutcome::NotRun, retryAfterClaim);
        return;
    }
}

void AgentCore::sendStoredAnswer(const AttemptPtr& attempt, const Idempotency::StoredAnswer& stored)
{
    attempt->answer.setHead({ stored.status, stored.contentType, {}, Platform::BodyFraming::Length });
    attempt->answer.add(stored.body);
    this->sendAnswer(attempt);
    if (attempt->connection != 0)
        this->outbox.send(attempt->connection, attempt->answer.makeEnd(attempt->id()));
    this->admission->revertStart(attempt->id());
    this->attempts.end(attempt->id(), { RunOutcome::Ran, std::nullopt, attempt, {} });
    this->metrics.counter("bluebell_kept_answers_total").fetch_add(1);
    this->processQueue();
}

void AgentCore::dispatch(const AttemptPtr& attempt)
{
    const Duration budget = attempt->deadline - this->clock.now();
    if (budget <= Duration::zero()) {
        if (!attempt->claimKey.empty())
            this->claims->release(attempt->claimKey, attempt->id());
        this->refuse(attempt, ResultCode::DeadlineExceeded, RunOutcome::NotRun, retryAfterFailure);
        return;
    }
    attempt->phase = AttemptPhase::Running;
    attempt->answerMemory = std::make_shared<Relay::AnswerMemory::Share>(this->answerMemory);
    this->metrics.counter("bluebell_handed_over_total").fetch_add(1);
    Foundation::logEvent(Event::AttemptStarted, attempt->offer.request, attempt->id());
    const bool canResume = this->isEngine;
    std::string body = canResume ? std::move(attempt->body) : attempt->body;
    attempt->call = this->upstream.dispatch(
        attempt->offer, std::move(body), budget, attempt->priority, this->makeStreamHandlers(attempt));
}

Platform::StreamHandlers AgentCore::makeStreamHandlers(const AttemptPtr& attempt)
{
    Platform::StreamHandlers handlers;
    handlers.onHead = [this, attempt](const Platform::HttpAnswerHead& head) { this->onAnswerHead(attempt, head); };
    handlers.onData = [this, attempt](const std::string& data) { this->onAnswerData(attempt, data); };
    handlers.onEnd = [this, attempt](const Platform::HttpCallResult& result) { this->onCallEnd(attempt, result); };
    return handlers;
}

void AgentCore::onAnswerHead(const AttemptPtr& attempt, const Platform::HttpAnswerHead& head)
{
    if (!this->isRunning(attempt))
        return;
    // An error response to a resume request is not part of the answer and must not be appended to it.
    attempt->resumeRefused = attempt->resumes > 0 && head.status >= firstClientErrorStatus;
    if (!attempt->resumeRefused)
        attempt->answer.setHead(head);
}

void AgentCore::onAnswerData(const AttemptPtr& attempt, std::string_view data)
{
    if (!this->isRunning(attempt) || attempt->resumeRefused)
        return;
    attempt->answer.add(data);
    attempt->answerMemory->resize(attempt->answer.bytes());
    if (!attempt->answerMemory->isWithinLimit() && isEnabled(Mechanism::AnswerMemory)) {
        Foundation::logEvent(Event::AttemptFinished, attempt->offer.request,
            attempt->id() + " error=the answer is too large bytes=" + std::to_string(attempt->answer.bytes())
                + " held_by_all_bytes=" + std::to_string(this->answerMemory.heldBytes()));
        this->abortDispatched(attempt, ResultCode::AnswerTooLarge);
        this->processQueue();
        return;
    }
    const bool isError = this->isEngine && attempt->answer.statusCode() >= firstServerErrorStatus;
    if (isError)
        return;
    if (this->admission->recordFirstToken(attempt->id()))
        this->onUpstreamCold("slow first tokens");
    this->sendAnswer(attempt);
}

void AgentCore::onCallEnd(const AttemptPtr& attempt, const Platform::HttpCallResult& result)
{
    if (!this->isRunning(attempt))
        return;
    if (result.outcome == Platform::CallOutcome::NotConnected && attempt->resumes == 0) {
        if (!attempt->claimKey.empty())
            this->claims->release(attempt->claimKey, attempt->id());
        // The upstream did not receive the request. In this phase refuse() releases the reserved resources.
        attempt->phase = AttemptPhase::Claiming;
        this->monitor->checkNow();
        this->refuse(attempt, ResultCode::UpstreamDown, RunOutcome::NotRun, retryAfterFailure);
        return;
    }
    const bool isBrokenOff = !attempt->resumeRefused && attempt->answer.isBrokenOff();
    if (result.outcome != Platform::CallOutcome::Complete || isBrokenOff) {
        Foundation::logEvent(Event::AttemptInterrupted, attempt->offer.request,
            attempt->id() + " error=" + (result.error.empty() ? "the stream ended inside an event" : result.error)
                + " bytes=" + std::to_string(attempt->answer.bytes()));
        attempt->phase = AttemptPhase::Interrupted;
        this->monitor->checkNow();
        return;
    }
    if (attempt->resumeRefused || (this->isEngine && result.status >= firstServerErrorStatus)) {
        // The engine ended the request itself and holds no resources for it any more.
        this->admission->recordAbort(attempt->id());
        this->admission->releaseStream(attempt->id());
        this->refuse(attempt, ResultCode::UpstreamFailed, RunOutcome::MayHaveRun, retryAfterFailure);
        return;
    }
    this->finish(attempt);
}

void AgentCore::resumeAtUpstream(const AttemptPtr& attempt)
{
    const Duration budget = attempt->deadline - this->clock.now();
    ++attempt->resumes;
    attempt->phase = AttemptPhase::Running;
    attempt->call
        = this->upstream.resume(attempt->id(), attempt->answer.bytes(), budget, this->makeStreamHandlers(attempt));
    this->metrics.counter("bluebell_upstream_resumes_total").fetch_add(1);
}

void AgentCore::finish(const AttemptPtr& attempt)
{
    this->admission->recordFirstToken(attempt->id());
    this->admission->recordCompletion(attempt->id());
    this->clearSuspicion(attempt);
    this->sendAnswer(attempt);
    if (attempt->connection != 0) {
        Wire::AnswerEnd end = attempt->answer.makeEnd(attempt->id());
        end.load = this->admission->load();
        this->outbox.send(attempt->connection, end);
    }
    if (!attempt->offer.repeatable && attempt->answer.bytes() <= maximumStoredAnswerBytes) {
        this->claims->storeAnswer({ attempt->claimKey, attempt->id(), attempt->answer.statusCode(),
            attempt->answer.contentType(), attempt->answer.body() });
    }
    Foundation::logEvent(Event::AttemptFinished, attempt->offer.request, attempt->id());
    this->metrics.counter("bluebell_completed_total").fetch_add(1);
    this->attempts.end(attempt->id(), { RunOutcome::Ran, std::nullopt, attempt, {} });
    this->processQueue();
}

// Ends an attempt that has no complete answer and sends the reason to its entry.
void AgentCore::refuse(
    const AttemptPtr& attempt, ResultCode code, RunOutcome outcome, Duration retryAfter, std::string_view detail)
{
    this->releaseReservation(attempt);
    this->metrics.countRefusal(code);
    Foundation::logEvent(Event::AttemptRefused, attempt->offer.request, Foundation::resultCodeEntry(code).name);
    Wire::Refused refused;
    refused.attempt = attempt->id();
    refused.code = code;
    refused.outcome = outcome;
    refused.retryAfterMs
        = retryAfter <= Duration::zero() ? 0 : Foundation::jittered(Foundation::toMilliseconds(retryAfter));
    refused.detail = detail;
    if (this->admission)
        refused.load = this->admission->load();
    if (attempt->connection != 0)
        this->outbox.send(attempt->connection, refused);
    this->attempts.end(attempt->id(), { outcome, refused, nullptr, {} });
}

// Releases the queue entry, the reserved resources and the pending claim of an attempt that was not dispatched. The
// resources of a dispatched attempt are released at the end of its call or when it is cancelled.
void AgentCore::releaseReservation(const AttemptPtr& attempt)
{
    if (!this->admission)
        return;
    if (attempt->phase == AttemptPhase::Queued)
        this->admission->withdraw(attempt->id());
    if (attempt->phase == AttemptPhase::AwaitingBody || attempt->phase == AttemptPhase::Claiming)
        this->admission->revertStart(attempt->id());
    if (attempt->phase == AttemptPhase::Claiming)
        this->claims->withdraw(attempt->id());
}

void AgentCore::cancelAttempt(const AttemptPtr& attempt, ResultCode reason)
{
    if (!attempt->isDispatched()) {
        this->refuse(attempt, reason, RunOutcome::NotRun, {});
        this->processQueue();
        return;
    }
    if (!attempt->offer.repeatable && this->clock.now() < attempt->deadline) {
        this->detachFromEntry(attempt);
        return;
    }
    this->abortDispatched(attempt, reason);
    this->processQueue();
}

void AgentCore::abortDispatched(const AttemptPtr& attempt, ResultCode reason)
{
    Foundation::logEvent(Event::AttemptCancelled, attempt->offer.request, attempt->id());
    this->metrics.counter("bluebell_cancelled_total").fetch_add(1);
    this->upstream.abandonCall(attempt->call);
    this->admission->recordAbort(attempt->id());
    this->refuse(attempt, reason, RunOutcome::MayHaveRun, retryAfterFailure);
    if (this->isEngine) {
        this->unacknowledgedCancels[attempt->id()] = attempt->offer.fingerprint;
        this->cancelAtUpstream(attempt->id());
    } else
        this->admission->releaseStream(attempt->id());
}

// Lets a non-repeatable call run on without a connected entry until its deadline. Such a call is never aborted earlier:
// its answer is stored for the caller's next try.
void AgentCore::detachFromEntry(const AttemptPtr& attempt)
{
    attempt->connection = 0;
    attempt->orphanedSince = attempt->deadline;
}

// Cancels a stream at the engine and retries until the engine acknowledges it or its generation ends. The slot and the
// memory of the stream stay reserved until then.
void AgentCore::cancelAtUpstream(const std::string& stream)
{
    if (!isEnabled(Mechanism::UpstreamCancel)) {
        this->admission->releaseStream(stream);
        return;
    }
    const std::string generation = this->monitor->generation();
    this->upstream.cancelStream(stream, [this, stream, generation](bool acknowledged) {
        if (acknowledged) {
            this->unacknowledgedCancels.erase(stream);
            this->admission->releaseStream(stream);
            this->processQueue();
            return;
        }
        const bool upstreamEnded = this->monitor->generation() != generation;
        if (upstreamEnded || !this->admission->memory().holds(stream))
            return;
        const auto timer = std::make_shared<asio::steady_timer>(this->context, cancelRetryDelay);
        timer->async_wait([this, stream, timer](const std::error_code& error) {
            if (!error)
                this->cancelAtUpstream(stream);
        });
    });
}

void AgentCore::sendAnswer(const AttemptPtr& attempt)
{
    if (attempt->connection == 0)
        return;
    attempt->answer.sendPending(attempt->id(),
        [this, &attempt](const Wire::Message& message) { this->outbox.send(attempt->connection, message); });
}

// Returns whether the attempt still waits for the answer of its call; callbacks of ended calls are ignored.
bool AgentCore::isRunning(const AttemptPtr& attempt) const
{
    return this->attempts.find(attempt->id()) == attempt && attempt->phase == AttemptPhase::Running;
}

// Refuses the attempts that were lost with the process of the upstream, and records the dispatched prompts among them
// as suspects of the crash.
void AgentCore::onUpstreamGenerationEnded(const std::string& endedGeneration)
{
    this->areStreamsListed = false;
    const std::string crash = this->settings.process.instance + "/" + endedGeneration;
    Wire::SuspectNotice notice;
    std::vector<AttemptPtr> dispatched;
    std::vector<AttemptPtr> reserved;
    for (const AttemptPtr& attempt : this->attempts.all()) {
        if (attempt->isDispatched())
            dispatched.push_back(attempt);
        else if (attempt->phase != AttemptPhase::Queued)
            reserved.push_back(attempt);
    }
    const auto recordSuspect = [&](const std::string& fingerprint, const std::string& request) {
        const Quarantine::CrashNotice crashNotice { fingerprint, crash };
        if (!this->suspects.record(crashNotice))
            return;
        notice.crashes.push_back(crashNotice);
        Foundation::logEvent(Event::SuspectAdded, request, crash);
    };
    for (const AttemptPtr& attempt : dispatched) {
        if (attempt->offer.kind == Wire::WorkKind::Prompt)
            recordSuspect(attempt->offer.fingerprint, attempt->offer.request);
    }
    // The engine may have run these until its end, although their callers or deadlines had given them up.
    for (const auto& [stream, fingerprint] : std::exchange(this->unacknowledgedCancels, {}))
        recordSuspect(fingerprint, "");
    // Entries must receive the suspects before the refusals below, since these make them decide about retries.
    if (!notice.crashes.empty())
        this->broadcast(notice);
    for (const AttemptPtr& attempt : dispatched) {
        this->upstream.abandonCall(attempt->call);
        this->refuse(attempt, ResultCode::UpstreamCrashed, RunOutcome::MayHaveRun, retryAfterFailure);
    }
    for (const AttemptPtr& attempt : reserved)
        this->refuse(attempt, ResultCode::UpstreamDown, RunOutcome::NotRun, retryAfterFailure);
    if (this->admission)
        this->admission->recordRestart();
}

// Resumes the interrupted attempts at an engine that is up, and refuses those that cannot be resumed.
void AgentCore::onUpstreamChecked()
{
    if (this->monitor->health() != UpstreamHealth::Up)
        return;
    if (this->isEngine && (!this->areStreamsListed || ++this->checksSinceStreamList >= checksBetweenStreamLists)) {
        this->checksSinceStreamList = 0;
        this->cancelForeignStreams();
    }
    for (const AttemptPtr& attempt : this->attempts.all()) {
        if (attempt->phase != AttemptPhase::Interrupted)
            continue;
        if (this->isEngine && attempt->resumes < maximumResumes) {
            this->resumeAtUpstream(attempt);
            continue;
        }
        this->admission->recordAbort(attempt->id());
        this->refuse(attempt, ResultCode::UpstreamFailed, RunOutcome::MayHaveRun, retryAfterFailure);
        if (this->isEngine)
            this->cancelAtUpstream(attempt->id());
        else
            this->admission->releaseStream(attempt->id());
    }
    this->processQueue();
}

void AgentCore::onUpstreamChanged()
{
    this->updateAvailability();
    this->processQueue();
}

// Cancels the streams at the engine that belong to no attempt of this agent. They were started by an earlier process of
// the agent; the engine may even accept them after that process has died, because their requests were already sent.
void AgentCore::cancelForeignStreams()
{
    this->upstream.listStreams([this](const Foundation::Result<std::vector<UpstreamStream>>& streams) {
        if (!streams || !this->admission)
            return;
        this->areStreamsListed = true;
        for (const UpstreamStream& stream : streams.value()) {
            if (this->attempts.find(stream.id) || this->admission->memory().holds(stream.id))
                continue;
            Foundation::logEvent(Event::ForeignStreamCancelled, "", stream.id);
            this->admission->recordForeignStream(stream.id, stream.tokens);
            this->cancelAtUpstream(stream.id);
        }
        this->updateAvailability();
    });
}

// Cancels the repeatable attempts above the start-up limit, so that a cold upstream does not fail under the load that
// was admitted while it was warm.
void AgentCore::onUpstreamCold(std::string_view cause)
{
    Foundation::logEvent(Event::UpstreamCold, "", cause);
    this->metrics.counter("bluebell_turned_cold_total").fetch_add(1);
    this->broadcast(Wire::LoadReport { this->admission->load() });
    for (const std::string& id : this->admission->attemptsAboveStartupLimit()) {
        const AttemptPtr attempt = this->attempts.find(id);
        if (attempt && attempt->offer.repeatable)
            this->cancelAttempt(attempt, ResultCode::UpstreamCold);
    }
}

void AgentCore::clearSuspicion(const AttemptPtr& attempt)
{
    const std::string& fingerprint = attempt->offer.fingerprint;
    if (this->suspects.status(fingerprint) != Quarantine::QuarantineStatus::Suspect)
        return;
    this->suspects.clear(fingerprint);
    this->broadcast(Wire::SuspectNotice { {}, { fingerprint }, {}, {} });
}

void AgentCore::onConfiguration(const Platform::ActiveConfigurationPtr& active)
{
    this->configuration = active;
    const Configuration::UpstreamDefinition* const definition = active->document.findUpstream(this->settings.upstream);
    if (definition) {
        this->isEngine = definition->kind == Configuration::UpstreamKind::Engine;
        if (!this->admission) {
            this->admission
                = std::make_unique<Admission::AdmissionController>(this->clock, *definition, active->document.limits);
        }
        this->admission->reconfigure(*definition, active->document.limits, active->document.policies);
        this->claims->setWindow(std::chrono::seconds(active->document.limits.keyWindowSeconds));
        this->monitor->checkNow();
    }
    this->updateAvailability();
    this->processQueue();
    // Sends the new version at once, so that a change is in force at the entries before the next heartbeat.
    this->broadcast(Wire::Heartbeat { active->state.version });
}

void AgentCore::readInstanceList()
{
    this->instanceList.read([this](const Foundation::Result<std::vector<Membership::Instance>>& list) {
        if (list) {
            const auto own
                = std::ranges::find(list.value(), this->settings.process.instance, &Membership::Instance::id);
            if (own != list.value().end())
                this->isListedAsDraining = own->state == Membership::ListedState::Draining;
            this->updateAvailability();
        }
        this->instanceListTimer.expires_after(instanceListInterval);
        this->instanceListTimer.async_wait([this](const std::error_code& error) {
            if (!error)
                this->readInstanceList();
        });
    });
}

void AgentCore::updateAvailability()
{
    if (!this->admission)
        return;
    const Availability current = this->currentAvailability();
    this->admission->setAvailability(current);
    if (current == this->availability)
        return;
    this->availability = current;
    this->broadcast(Wire::LoadReport { this->admission->load() });
}

Availability AgentCore::currentAvailability() const
{
    if (this->isShuttingDown)
        return Availability::ShuttingDown;
    const bool isDraining = this->monitor->isDraining() || this->isListedAsDraining;
    if (isDraining && isEnabled(Mechanism::Leaving))
        return Availability::Draining;
    const bool isConfigured = this->configuration && this->configuration->hasDocument()
        && this->configuration->document.findUpstream(this->settings.upstream);
    if (!isConfigured)
        return Availability::NotReady;
    const Application::ProcessSettings& process = this->settings.process;
    const bool isTakenOut = this->configuration->state.isTakenOut(process.instance, process.failureDomain);
    if (isTakenOut && isEnabled(Mechanism::TakeOut))
        return Availability::TakenOut;
    if (this->monitor->health() != UpstreamHealth::Up)
        return Availability::Down;
    if (this->isEngine && !this->areStreamsListed)
        return Availability::NotReady;
    return Availability::Available;
}

void AgentCore::broadcast(const Wire::Message& message)
{
    for (const Wire::ConnectionId connection : this->sessions.connections())
        this->outbox.send(connection, message);
}

void AgentCore::requestConfigurationIfBehind(Wire::ConnectionId connection, std::uint64_t peerVersion)
{
    if (peerVersion > this->configurationFollower->state().version && isEnabled(Mechanism::PeerConfiguration))
        this->outbox.send(
            connection, Wire::ConfigurationRequest { this->configurationFollower->state().documentVersion });
}

void AgentCore::tick()
{
    this->cancelExpiredAttempts();
    this->closeSilentConnections();
    if (this->admission && this->isEngine && this->admission->detectSlowPrefill())
        this->onUpstreamCold("slow prefill");
    this->processQueue();
    if (++this->ticksSinceCleanup >= ticksBetweenCleanups) {
        this->ticksSinceCleanup = 0;
        this->attempts.removeExpired();
    }
    if (this->isShuttingDown)
        this->stopWhenIdle();
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            this->tick();
    });
}

void AgentCore::cancelExpiredAttempts()
{
    const Foundation::TimePoint now = this->clock.now();
    for (const AttemptPtr& attempt : this->attempts.all()) {
        const bool isOrphan = attempt->connection == 0 && now - attempt->orphanedSince >= this->settings.orphanGrace;
        if (now >= attempt->deadline)
            this->cancelAttempt(attempt, ResultCode::DeadlineExceeded);
        else if (isOrphan)
            this->cancelAttempt(attempt, ResultCode::CallerGone);
    }
}

void AgentCore::closeSilentConnections()
{
    for (const Wire::ConnectionId connection : this->sessions.silentConnections()) {
        this->onClosed(connection);
        this->endpoint.close(connection);
    }
}

void AgentCore::stopWhenIdle()
{
    const bool mustWait = this->attempts.size() > 0 && isEnabled(Mechanism::GracefulShutdown);
    if (mustWait || this->isStopping)
        return;
    this->isStopping = true;
    this->claims->stop();
    this->configurationFollower->stop();
    this->monitor->stop();
    this->outbox.flush();
    this->endpoint.stop();
    const auto timer = std::make_shared<asio::steady_timer>(this->context, closeDelay);
    timer->async_wait([this, timer](const std::error_code&) { this->context.stop(); });
}

} // namespace Agent
