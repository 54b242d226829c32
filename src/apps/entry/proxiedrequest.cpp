#include "proxiedrequest.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>
#include <foundation/mechanism.h>

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>

namespace Entry {

namespace {

using Foundation::Event;
using Foundation::ResultCode;
using Foundation::RunOutcome;

constexpr int firstErrorStatus = 400;
constexpr int maximumResumes = 3;
constexpr std::int64_t defaultRetryAfterMs = 200;
constexpr std::int64_t retryAfterDeadlineMs = 1000;

std::string classLabel(const ParsedRequest& request)
{
    if (request.kind == Wire::WorkKind::ServiceCall)
        return "class=\"service\"";
    return "class=\"" + std::string(Configuration::toString(request.lengthClass)) + "\"";
}

} // namespace

/**
 * @class ProxiedRequest
 * Handles one request from its arrival to its final answer: selects an upstream, retries, assembles the answer and
 * enforces the deadline. All of this runs on one strand.
 */
ProxiedRequest::ProxiedRequest(ProxyContext& context, std::shared_ptr<Web::HttpExchange> exchange, ParsedRequest parsed)
    : context(context)
    , strand(asio::make_strand(context.workers))
    , exchange(std::move(exchange))
    , request(std::move(parsed))
    , deadlineTimer(this->strand)
    , recoveryTimer(this->strand)
    , arrivedAt(context.clock.now())
    , deadline(this->arrivedAt + this->request.timeout)
    , trace { this->request.id, {} }
    , heldAnswer(std::make_shared<Relay::AnswerMemory::Share>(context.answerMemory))
    , lastRefusal { ResultCode::NoUpstream, RunOutcome::NotRun, defaultRetryAfterMs, "" }
{
    this->context.activeRequests.fetch_add(1);
}

ProxiedRequest::~ProxiedRequest() { this->context.activeRequests.fetch_sub(1); }

void ProxiedRequest::start()
{
    asio::dispatch(this->strand, [self = this->shared_from_this()] {
        self->deadlineTimer.expires_at(self->deadline);
        self->deadlineTimer.async_wait([self](const std::error_code& error) {
            if (!error)
                self->onDeadline();
        });
        self->exchange->setDisconnectHandler([weak = std::weak_ptr<ProxiedRequest>(self)] {
            if (const auto strongSelf = weak.lock())
                asio::post(strongSelf->strand, [strongSelf] { strongSelf->onCallerGone(); });
        });
        self->context.retryBudget.deposit(
            self->request.account.name, self->context.table.read()->document().limits.retryShare);
        self->startAttempt();
    });
}

void ProxiedRequest::onAttemptMessage(const std::string& attemptId, Wire::Message message)
{
    asio::dispatch(this->strand, [self = this->shared_from_this(), attemptId, message = std::move(message)] {
        // Messages of an attempt may still arrive after it has ended and the next one has started.
        if (self->stage == Stage::Ended || attemptId != self->attempt)
            return;
        std::visit([&self](const auto& typed) { self->handle(typed); }, message);
    });
}

void ProxiedRequest::onLinkLost(const std::string& attemptId)
{
    asio::dispatch(this->strand, [self = this->shared_from_this(), attemptId] {
        if (self->stage == Stage::Active && attemptId == self->attempt)
            self->handleLinkLost();
    });
}

void ProxiedRequest::onLinkRestored(const std::string& attemptId, const std::string& agentIncarnation)
{
    asio::dispatch(this->strand, [self = this->shared_from_this(), attemptId, agentIncarnation] {
        if (self->stage == Stage::Recovering && attemptId == self->attempt)
            self->resumeOnLink(agentIncarnation);
    });
}

void ProxiedRequest::startAttempt()
{
    this->table = this->context.table.read();
    if (this->refuseIfQuarantined())
        return;
    const Route* const target = this->route();
    if (!target) {
        this->finishError(this->lastRefusal);
        return;
    }
    const std::vector<Routing::Candidate> candidates = this->table->candidates(*target);
    const auto chosen = this->selectCandidate(candidates);
    if (!chosen) {
        this->recordStep("no upstream is eligible");
        this->finishError(this->lastRefusal);
        return;
    }
    this->offerTo(target->links[*chosen], target->upstreamCount);
}

std::optional<std::size_t> ProxiedRequest::selectCandidate(const std::vector<Routing::Candidate>& candidates)
{
    Routing::RoutedRequest routed;
    routed.model = this->request.target;
    routed.lengthClass = this->request.lengthClass;
    routed.promptTokens = this->request.promptTokens;
    const bool isPrompt = this->request.kind == Wire::WorkKind::Prompt;
    routed.memoryTokens = isPrompt ? this->request.promptTokens + this->request.outputTokens : 0;
    routed.prefixHash = this->request.prefixHash;
    routed.excluded = this->excludedInstances;
    return this->table->selector->choose(candidates, routed, &Foundation::randomBelow);
}

void ProxiedRequest::offerTo(const AgentLinkPtr& agent, std::int64_t upstreamCount)
{
    ++this->attemptCount;
    this->link = agent;
    this->attempt = Foundation::makeIdentifier();
    this->incarnation = agent->incarnation();
    this->assembly = Routing::AnswerAssembly();
    this->head.reset();
    this->bufferedBody.clear();
    this->bodySender.reset();
    this->resumeCount = 0;
    this->stage = Stage::Active;
    this->excludedInstances.push_back(agent->instance().id);
    this->recordStep("offered to " + agent->instance().id + " in failure domain " + agent->instance().failureDomain);
    agent->addAttempt(this->attempt, this->weak_from_this(), this->request.promptTokens);
    if (!agent->isWelcomed()) {
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::NotRun, defaultRetryAfterMs, "");
        return;
    }
    agent->send(this->makeOffer(upstreamCount));
}

Wire::Offer ProxiedRequest::makeOffer(std::int64_t upstreamCount) const
{
    Wire::Offer offer;
    offer.attempt = this->attempt;
    offer.request = this->request.id;
    offer.kind = this->request.kind;
    offer.account = this->request.account.name;
    offer.model = this->request.target;
    offer.method = this->request.method;
    offer.path = this->request.path;
    offer.contentType = this->request.contentType;
    offer.idempotencyKey = this->request.idempotencyKey;
    offer.fingerprint = this->request.fingerprint;
    offer.repeatable = this->request.isRepeatable();
    offer.budgetMs = std::max<std::int64_t>(1, Foundation::toMilliseconds(this->timeLeft()));
    offer.promptTokens = this->request.promptTokens;
    offer.outputTokens = this->request.outputTokens;
    offer.upstreamCount = upstreamCount;
    offer.bodyBytes = this->request.body->size();
    if (offer.bodyBytes <= Wire::maximumChunkBytes)
        offer.body = *this->request.body;
    const auto suspectTable = this->context.suspects.read();
    const auto crash = suspectTable->crashes.find(this->request.fingerprint);
    if (crash != suspectTable->crashes.end())
        offer.suspectCrash = crash->second;
    return offer;
}

bool ProxiedRequest::refuseIfQuarantined()
{
    const auto suspectTable = this->context.suspects.read();
    const auto status = suspectTable->quarantineStatuses.find(this->request.fingerprint);
    const bool isQuarantined = Foundation::isEnabled(Foundation::Mechanism::Quarantine)
        && status != suspectTable->quarantineStatuses.end()
        && status->second == Quarantine::QuarantineStatus::Quarantined;
    if (!isQuarantined)
        return false;
    Foundation::logEvent(Event::RequestQuarantined, this->request.id, this->request.fingerprint);
    this->finishError({ ResultCode::Quarantined, RunOutcome::NotRun, 0, "" });
    return true;
}

template <typename Other> void ProxiedRequest::handle(const Other&)
{
    // Ignores messages that an agent never sends for an attempt.
}

void ProxiedRequest::handle(const Wire::Granted&)
{
    if (this->bodySender)
        return;
    this->bodySender.emplace(this->attempt, this->request.body, this->context.interleaving);
    this->sendBodyChunks(0);
}

void ProxiedRequest::handle(const Wire::BodyAcknowledgement& acknowledgement)
{
    if (this->bodySender)
        this->sendBodyChunks(acknowledgement.received);
}

void ProxiedRequest::sendBodyChunks(std::uint64_t acknowledged)
{
    this->bodySender->advance(acknowledged, [this](Wire::BodyChunk chunk) { this->link->send(std::move(chunk)); });
}

void ProxiedRequest::handle(const Wire::Refused& refused)
{
    this->endAttempt(refused.code, refused.outcome, refused.retryAfterMs, refused.detail);
}

void ProxiedRequest::handle(const Wire::AnswerHead& answerHead)
{
    if (!this->head)
        this->head = answerHead;
}

void ProxiedRequest::handle(const Wire::AnswerChunk& chunk)
{
    switch (this->assembly.accept(chunk.sequence, chunk.data)) {
    case Routing::ChunkVerdict::Accepted:
        this->deliver(chunk.data);
        return;
    case Routing::ChunkVerdict::Duplicate:
        this->context.metrics.counter("bluebell_duplicate_chunks_total").fetch_add(1);
        return;
    case Routing::ChunkVerdict::Gap:
        this->requestResume();
        return;
    }
}

void ProxiedRequest::handle(const Wire::AnswerEnd& answerEnd)
{
    const bool isComplete = this->head && this->assembly.isComplete(answerEnd.count, answerEnd.hash);
    if (!isComplete && Foundation::isEnabled(Foundation::Mechanism::AnswerCheck)) {
        this->requestResume();
        return;
    }
    this->finishAnswer(answerEnd.promptTokens);
}

void ProxiedRequest::handle(const Wire::RevokeResult& result)
{
    if (result.outcome == RunOutcome::NotRun) {
        this->recordStep("attempt revoked before it started");
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::NotRun, defaultRetryAfterMs, "");
        return;
    }
    this->requestResume();
}

void ProxiedRequest::requestResume()
{
    if (++this->resumeCount > maximumResumes) {
        this->endAttempt(ResultCode::AnswerIncomplete, RunOutcome::MayHaveRun, defaultRetryAfterMs, "");
        return;
    }
    Foundation::logEvent(Event::RequestResumed, this->request.id, this->attempt);
    this->context.metrics.counter("bluebell_resumes_total").fetch_add(1);
    this->link->send(Wire::Resume { this->attempt, this->assembly.nextSequence(), this->head.has_value() });
}

// If nothing was delivered yet, a repeatable request is retried at another upstream at once. Any other request can only
// continue this attempt, so it waits for the agent to be connected again.
void ProxiedRequest::handleLinkLost()
{
    this->recordStep("connection to " + this->link->instance().id + " was lost");
    if (this->head && !Foundation::isEnabled(Foundation::Mechanism::AnswerCheck)) {
        this->finishAnswer(0);
        return;
    }
    if (this->request.isRepeatable() && this->bytesDelivered == 0) {
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::MayHaveRun, defaultRetryAfterMs, "");
        return;
    }
    this->stage = Stage::Recovering;
    this->recoveryTimer.expires_after(this->context.recoveryTime);
    this->recoveryTimer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
        if (!error && self->stage == Stage::Recovering)
            self->endAttempt(ResultCode::ConnectionLost, RunOutcome::MayHaveRun, defaultRetryAfterMs, "");
    });
}

void ProxiedRequest::resumeOnLink(const std::string& agentIncarnation)
{
    this->recoveryTimer.cancel();
    this->stage = Stage::Active;
    if (agentIncarnation != this->incarnation) {
        this->recordStep("the agent process has restarted");
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::MayHaveRun, defaultRetryAfterMs, "");
        return;
    }
    const bool isStartUncertain = !this->request.isRepeatable() && !this->head;
    if (isStartUncertain && !Foundation::isEnabled(Foundation::Mechanism::RevokeProof)) {
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::NotRun, defaultRetryAfterMs, "");
        return;
    }
    if (isStartUncertain)
        this->link->send(Wire::Revoke { this->attempt });
    else
        this->requestResume();
}

void ProxiedRequest::endAttempt(
    ResultCode code, RunOutcome outcome, std::int64_t retryAfterMs, const std::string& detail)
{
    this->recordStep("attempt ended: " + std::string(Foundation::resultCodeEntry(code).name) + ", "
        + std::string(Foundation::toString(outcome)));
    this->closeAttempt();
    this->mayHaveRun = this->mayHaveRun || outcome != RunOutcome::NotRun;
    this->lastRefusal = { code, outcome, retryAfterMs, detail };
    const Routing::AttemptEnd attemptEnd { outcome, code, this->request.repeatability, this->bytesDelivered,
        this->attemptCount, this->timeLeft() };
    switch (Routing::decideRetry(attemptEnd)) {
    case Routing::RetryDecision::Fail:
        this->finishError(this->lastRefusal);
        return;
    case Routing::RetryDecision::Retry:
        if (!this->context.retryBudget.tryWithdraw(this->request.account.name)) {
            this->context.metrics.countRefusal(ResultCode::RetryBudgetSpent);
            this->finishError(this->lastRefusal);
            return;
        }
        break;
    case Routing::RetryDecision::Reroute:
        break;
    }
    this->context.metrics.countRetry(code);
    Foundation::logEvent(Event::RequestRetried, this->request.id, Foundation::resultCodeEntry(code).name);
    this->startAttempt();
}

void ProxiedRequest::deliver(const std::string& data)
{
    if (!this->isFirstByteRecorded) {
        this->isFirstByteRecorded = true;
        this->context.metrics.observe("bluebell_first_byte_seconds", classLabel(this->request),
            Foundation::toSeconds(this->context.clock.now() - this->arrivedAt));
    }
    if (this->isStreamed()) {
        if (!this->isStreamStarted)
            this->beginStream();
        this->bytesDelivered += data.size();
        this->exchange->write(data);
        this->heldAnswer->resize(this->exchange->unsentBytes());
    } else {
        this->bufferedBody += data;
        this->heldAnswer->resize(this->bufferedBody.size());
    }
    if (!this->heldAnswer->isWithinLimit() && Foundation::isEnabled(Foundation::Mechanism::AnswerMemory))
        this->endTooLargeAnswer();
}

void ProxiedRequest::endTooLargeAnswer()
{
    this->recordStep("the answer is too large: limit " + std::to_string(this->heldAnswer->limit()) + " bytes");
    this->link->send(Wire::Cancel { this->attempt });
    this->closeAttempt();
    this->finishError({ ResultCode::AnswerTooLarge, RunOutcome::MayHaveRun, 0, "" });
}

void ProxiedRequest::beginStream()
{
    this->isStreamStarted = true;
    this->exchange->beginStream(this->makeReplyHead());
}

void ProxiedRequest::finishAnswer(std::int64_t promptTokens)
{
    const ModelRoute* const model = this->table->findModel(this->request.target);
    if (model && promptTokens > 0)
        model->estimator->recordUsage(this->request.body->size(), promptTokens);
    this->recordStep("answered with status " + std::to_string(this->head->status));
    this->context.metrics.counter("bluebell_answered_total", classLabel(this->request)).fetch_add(1);
    this->context.metrics.observe("bluebell_total_seconds", classLabel(this->request),
        Foundation::toSeconds(this->context.clock.now() - this->arrivedAt));
    Foundation::logEvent(Event::RequestAnswered, this->request.id, this->link->instance().id);
    this->closeAttempt();
    this->finish();
    if (this->isStreamStarted) {
        this->exchange->finish();
        return;
    }
    Web::HttpReply reply = this->makeReplyHead();
    reply.body = std::move(this->bufferedBody);
    reply.attachment = this->heldAnswer;
    this->exchange->respond(std::move(reply));
}

void ProxiedRequest::finishError(CallerError error)
{
    if (this->mayHaveRun && error.outcome == RunOutcome::NotRun)
        error.outcome = RunOutcome::MayHaveRun;
    const Foundation::ResultCodeEntry& entry = Foundation::resultCodeEntry(error.code);
    this->recordStep("refused: " + std::string(entry.name));
    this->context.metrics.countRefusal(error.code);
    Foundation::logEvent(Event::RequestRefused, this->request.id,
        std::string(entry.name) + ", " + std::string(Foundation::toString(error.outcome)));
    this->finish();
    if (!this->isStreamStarted) {
        Web::HttpReply reply = errorReply(error, this->request.id);
        if (!this->request.idempotencyKey.empty())
            reply.headers.push_back({ "Idempotency-Key", this->request.idempotencyKey });
        this->exchange->respond(std::move(reply));
        return;
    }
    // The stream has begun, so the status cannot change: an event reports the error, and the aborted connection shows
    // that the answer is incomplete.
    this->exchange->write("event: error\ndata: " + errorBody(error) + "\n\n");
    this->exchange->abort();
}

void ProxiedRequest::onDeadline()
{
    if (this->stage == Stage::Ended || !Foundation::isEnabled(Foundation::Mechanism::EntryDeadline))
        return;
    const bool hasAttempt = !this->attempt.empty();
    const RunOutcome outcome = hasAttempt ? RunOutcome::MayHaveRun : RunOutcome::NotRun;
    if (hasAttempt)
        this->link->send(Wire::Cancel { this->attempt });
    this->closeAttempt();
    this->finishError({ ResultCode::DeadlineExceeded, outcome, retryAfterDeadlineMs, "" });
}

void ProxiedRequest::onCallerGone()
{
    if (this->stage == Stage::Ended)
        return;
    this->recordStep("the caller closed its connection");
    this->context.metrics.countRefusal(ResultCode::CallerGone);
    if (!this->attempt.empty())
        this->link->send(Wire::Cancel { this->attempt });
    this->closeAttempt();
    this->finish();
}

void ProxiedRequest::closeAttempt()
{
    if (this->attempt.empty())
        return;
    this->link->removeAttempt(this->attempt);
    this->attempt.clear();
    this->recoveryTimer.cancel();
}

void ProxiedRequest::finish()
{
    this->stage = Stage::Ended;
    this->deadlineTimer.cancel();
    this->recoveryTimer.cancel();
    this->context.traces.add(std::move(this->trace));
}

Foundation::Duration ProxiedRequest::timeLeft() const { return this->deadline - this->context.clock.now(); }

const Route* ProxiedRequest::route() const
{
    if (!this->table->isComplete())
        return nullptr;
    if (this->request.kind == Wire::WorkKind::Prompt)
        return this->table->findModel(this->request.target);
    return this->table->findService(this->request.target);
}

void ProxiedRequest::recordStep(std::string step)
{
    const auto elapsed = Foundation::toMilliseconds(this->context.clock.now() - this->arrivedAt);
    this->trace.steps.push_back("+" + std::to_string(elapsed) + " ms " + std::move(step));
}

bool ProxiedRequest::isStreamed() const
{
    return this->request.answerMode == AnswerMode::Streamed && this->head && this->head->status < firstErrorStatus;
}

Web::HttpReply ProxiedRequest::makeReplyHead() const
{
    Web::HttpReply reply;
    reply.status = this->head->status;
    reply.contentType = this->head->contentType.empty() ? "application/octet-stream" : this->head->contentType;
    reply.headers.push_back({ "X-Request-Id", this->request.id });
    reply.headers.push_back({ "X-Bluebell-Outcome", std::string(Foundation::toString(RunOutcome::Ran)) });
    if (!this->request.idempotencyKey.empty())
        reply.headers.push_back({ "Idempotency-Key", this->request.idempotencyKey });
    return reply;
}

} // namespace Entry
