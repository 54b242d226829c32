#include "requestflow.h"

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
constexpr int maximumRestRequests = 3;
constexpr std::int64_t retryAfterLossMs = 200;
constexpr std::int64_t retryAfterDeadlineMs = 1000;

std::string classLabel(const ParsedRequest& request)
{
    if (request.kind == Wire::WorkKind::ServiceCall)
        return "class=\"service\"";
    return "class=\"" + std::string(Configuration::toString(request.lengthClass)) + "\"";
}

} // namespace

/**
 * @class RequestFlow
 * One request from its arrival to its final answer: the choice of an upstream, retries, the assembly of the answer
 * and the deadline. All of it runs on one strand.
 */
RequestFlow::RequestFlow(
    FlowEnvironment& environment, std::shared_ptr<Web::HttpExchange> exchange, ParsedRequest parsed)
    : environment(environment)
    , strand(asio::make_strand(environment.workers))
    , exchange(std::move(exchange))
    , request(std::move(parsed))
    , deadlineTimer(this->strand)
    , recoveryTimer(this->strand)
    , arrival(environment.clock.now())
    , deadline(this->arrival + this->request.budget)
    , trace { this->request.id, {} }
    , lastRefusal { ResultCode::NoUpstream, RunOutcome::NotRun, retryAfterLossMs, "" }
{
    this->environment.activeFlows.fetch_add(1);
}

RequestFlow::~RequestFlow() { this->environment.activeFlows.fetch_sub(1); }

void RequestFlow::start()
{
    asio::dispatch(this->strand, [self = this->shared_from_this()] {
        self->deadlineTimer.expires_at(self->deadline);
        self->deadlineTimer.async_wait([self](const std::error_code& error) {
            if (!error)
                self->onDeadline();
        });
        self->exchange->onGone([weak = std::weak_ptr<RequestFlow>(self)] {
            if (const auto flow = weak.lock())
                asio::post(flow->strand, [flow] { flow->onCallerGone(); });
        });
        self->environment.retryBudget.deposit(
            self->request.account.name, self->environment.table.read()->document().limits.retryShare);
        self->tryNext();
    });
}

void RequestFlow::onAttemptMessage(const std::string& attemptId, Wire::Message message)
{
    asio::dispatch(this->strand, [self = this->shared_from_this(), attemptId, message = std::move(message)] {
        // Messages of an attempt that was given up may come late or crossed.
        if (self->stage == Stage::Ended || attemptId != self->attempt)
            return;
        std::visit([&self](const auto& typed) { self->handle(typed); }, message);
    });
}

void RequestFlow::onLinkLost(const std::string& attemptId)
{
    asio::dispatch(this->strand, [self = this->shared_from_this(), attemptId] {
        if (self->stage == Stage::Offered && attemptId == self->attempt)
            self->recover();
    });
}

void RequestFlow::onLinkRestored(const std::string& attemptId, const std::string& agentIncarnation)
{
    asio::dispatch(this->strand, [self = this->shared_from_this(), attemptId, agentIncarnation] {
        if (self->stage == Stage::Recovering && attemptId == self->attempt)
            self->continueOnLink(agentIncarnation);
    });
}

void RequestFlow::tryNext()
{
    this->table = this->environment.table.read();
    if (this->refuseQuarantined())
        return;
    const Route* const target = this->route();
    if (!target) {
        this->finishError(this->lastRefusal);
        return;
    }
    const std::vector<Routing::Candidate> candidates = this->table->candidates(*target);
    const auto chosen = this->chooseFrom(candidates);
    if (!chosen) {
        this->note("no upstream is eligible");
        this->finishError(this->lastRefusal);
        return;
    }
    this->offerTo(target->links[*chosen], target->upstreamCount);
}

std::optional<std::size_t> RequestFlow::chooseFrom(const std::vector<Routing::Candidate>& candidates)
{
    Routing::RoutedRequest routed;
    routed.model = this->request.target;
    routed.lengthClass = this->request.lengthClass;
    routed.promptTokens = this->request.promptTokens;
    const bool isPrompt = this->request.kind == Wire::WorkKind::Prompt;
    routed.memoryTokens = isPrompt ? this->request.promptTokens + this->request.outputTokens : 0;
    routed.prefixHash = this->request.prefixHash;
    routed.excluded = this->excluded;
    return this->table->choice->choose(candidates, routed, &Foundation::randomBelow);
}

void RequestFlow::offerTo(const AgentLinkPtr& agent, std::int64_t upstreamCount)
{
    ++this->attempts;
    this->link = agent;
    this->attempt = Foundation::makeIdentifier();
    this->incarnation = agent->incarnation();
    this->assembly = Routing::AnswerAssembly();
    this->head.reset();
    this->wholeBody.clear();
    this->bodySender.reset();
    this->restRequests = 0;
    this->stage = Stage::Offered;
    this->excluded.push_back(agent->instance().id);
    this->note("offered to " + agent->instance().id + " in " + agent->instance().failureDomain);
    agent->addAttempt(this->attempt, this->weak_from_this(), this->request.promptTokens);
    if (!agent->isWelcomed()) {
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::NotRun, retryAfterLossMs, "");
        return;
    }
    agent->send(this->makeOffer(upstreamCount));
}

Wire::Offer RequestFlow::makeOffer(std::int64_t upstreamCount) const
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
    offer.budgetMs = std::max<std::int64_t>(1, Foundation::toMilliseconds(this->remaining()));
    offer.promptTokens = this->request.promptTokens;
    offer.outputTokens = this->request.outputTokens;
    offer.upstreamCount = upstreamCount;
    offer.bodyBytes = this->request.body->size();
    if (offer.bodyBytes <= Wire::maximumChunkBytes)
        offer.body = *this->request.body;
    const auto suspectTable = this->environment.suspects.read();
    const auto crash = suspectTable->crashes.find(this->request.fingerprint);
    if (crash != suspectTable->crashes.end())
        offer.suspectCrash = crash->second;
    return offer;
}

bool RequestFlow::refuseQuarantined()
{
    const auto suspectTable = this->environment.suspects.read();
    const auto standing = suspectTable->standings.find(this->request.fingerprint);
    const bool isQuarantined = Foundation::isEnabled(Foundation::Mechanism::Quarantine)
        && standing != suspectTable->standings.end() && standing->second == Quarantine::QuarantineStatus::Quarantined;
    if (!isQuarantined)
        return false;
    Foundation::logEvent(Event::RequestQuarantined, this->request.id, this->request.fingerprint);
    this->finishError({ ResultCode::Quarantined, RunOutcome::NotRun, 0, "" });
    return true;
}

template <typename Other> void RequestFlow::handle(const Other&)
{
    // Messages that only an entry sends mean nothing here.
}

void RequestFlow::handle(const Wire::Granted&)
{
    if (this->bodySender)
        return;
    this->bodySender.emplace(this->attempt, this->request.body, this->environment.interleaving);
    this->sendBody(0);
}

void RequestFlow::handle(const Wire::BodyAcknowledgement& acknowledgement)
{
    if (this->bodySender)
        this->sendBody(acknowledgement.received);
}

void RequestFlow::sendBody(std::uint64_t acknowledged)
{
    this->bodySender->advance(acknowledged, [this](Wire::BodyChunk chunk) { this->link->send(std::move(chunk)); });
}

void RequestFlow::handle(const Wire::Refused& refused)
{
    this->endAttempt(refused.code, refused.outcome, refused.retryAfterMs, refused.detail);
}

void RequestFlow::handle(const Wire::AnswerHead& answerHead)
{
    if (!this->head)
        this->head = answerHead;
}

void RequestFlow::handle(const Wire::AnswerChunk& chunk)
{
    switch (this->assembly.accept(chunk.sequence, chunk.data)) {
    case Routing::ChunkVerdict::Accepted:
        this->deliver(chunk.data);
        return;
    case Routing::ChunkVerdict::Duplicate:
        this->environment.metrics.counter("bluebell_duplicate_chunks_total").fetch_add(1);
        return;
    case Routing::ChunkVerdict::Gap:
        this->askForRest();
        return;
    }
}

void RequestFlow::handle(const Wire::AnswerEnd& answerEnd)
{
    const bool isWhole = this->head && this->assembly.isComplete(answerEnd.count, answerEnd.hash);
    if (!isWhole && Foundation::isEnabled(Foundation::Mechanism::AnswerCheck)) {
        this->askForRest();
        return;
    }
    this->finishAnswer(answerEnd.promptTokens);
}

void RequestFlow::handle(const Wire::RevokeResult& result)
{
    if (result.outcome == RunOutcome::NotRun) {
        this->note("revoked before start");
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::NotRun, retryAfterLossMs, "");
        return;
    }
    this->askForRest();
}

void RequestFlow::askForRest()
{
    if (++this->restRequests > maximumRestRequests) {
        this->endAttempt(ResultCode::AnswerIncomplete, RunOutcome::MayHaveRun, retryAfterLossMs, "");
        return;
    }
    Foundation::logEvent(Event::RequestResumed, this->request.id, this->attempt);
    this->environment.metrics.counter("bluebell_resumes_total").fetch_add(1);
    this->link->send(Wire::Resume { this->attempt, this->assembly.nextSequence(), this->head.has_value() });
}

// A request that may run again and has delivered nothing goes elsewhere at once. Any other needs this very attempt.
void RequestFlow::recover()
{
    this->note("connection to " + this->link->instance().id + " was lost");
    if (this->head && !Foundation::isEnabled(Foundation::Mechanism::AnswerCheck)) {
        this->finishAnswer(0);
        return;
    }
    if (this->request.isRepeatable() && this->bytesDelivered == 0) {
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::MayHaveRun, retryAfterLossMs, "");
        return;
    }
    this->stage = Stage::Recovering;
    this->recoveryTimer.expires_after(this->environment.recoveryTime);
    this->recoveryTimer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
        if (!error && self->stage == Stage::Recovering)
            self->endAttempt(ResultCode::ConnectionLost, RunOutcome::MayHaveRun, retryAfterLossMs, "");
    });
}

void RequestFlow::continueOnLink(const std::string& agentIncarnation)
{
    this->recoveryTimer.cancel();
    this->stage = Stage::Offered;
    if (agentIncarnation != this->incarnation) {
        this->note("the agent has restarted");
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::MayHaveRun, retryAfterLossMs, "");
        return;
    }
    const bool mayNotHaveStarted = !this->request.isRepeatable() && !this->head;
    if (mayNotHaveStarted && !Foundation::isEnabled(Foundation::Mechanism::RevokeProof)) {
        this->endAttempt(ResultCode::ConnectionLost, RunOutcome::NotRun, retryAfterLossMs, "");
        return;
    }
    if (mayNotHaveStarted)
        this->link->send(Wire::Revoke { this->attempt });
    else
        this->askForRest();
}

void RequestFlow::endAttempt(ResultCode code, RunOutcome outcome, std::int64_t retryAfterMs, const std::string& detail)
{
    this->note("attempt ended: " + std::string(Foundation::resultCodeEntry(code).name) + ", "
        + std::string(Foundation::toString(outcome)));
    this->leaveAttempt();
    this->mayHaveRun = this->mayHaveRun || outcome != RunOutcome::NotRun;
    this->lastRefusal = { code, outcome, retryAfterMs, detail };
    const Routing::AttemptEnd attemptEnd { outcome, code, this->request.repeatability, this->bytesDelivered,
        this->attempts, this->remaining() };
    switch (Routing::decideRetry(attemptEnd)) {
    case Routing::RetryDecision::Fail:
        this->finishError(this->lastRefusal);
        return;
    case Routing::RetryDecision::Retry:
        if (!this->environment.retryBudget.tryWithdraw(this->request.account.name)) {
            this->environment.metrics.countRefusal(ResultCode::RetryBudgetSpent);
            this->finishError(this->lastRefusal);
            return;
        }
        break;
    case Routing::RetryDecision::Reroute:
        break;
    }
    this->environment.metrics.countRetry(code);
    Foundation::logEvent(Event::RequestRetried, this->request.id, Foundation::resultCodeEntry(code).name);
    this->tryNext();
}

void RequestFlow::deliver(const std::string& data)
{
    if (!this->firstByteSeen) {
        this->firstByteSeen = true;
        this->environment.metrics.observe("bluebell_first_byte_seconds", classLabel(this->request),
            Foundation::toSeconds(this->environment.clock.now() - this->arrival));
    }
    if (!this->isStreamed()) {
        this->wholeBody += data;
        return;
    }
    if (!this->streamBegun)
        this->beginDelivery();
    this->bytesDelivered += data.size();
    this->exchange->write(data);
}

void RequestFlow::beginDelivery()
{
    this->streamBegun = true;
    this->exchange->beginStream(this->makeReplyHead());
}

void RequestFlow::finishAnswer(std::int64_t promptTokens)
{
    const ModelRoute* const model = this->table->findModel(this->request.target);
    if (model && promptTokens > 0)
        model->estimator->learn(this->request.body->size(), promptTokens);
    this->note("answered with status " + std::to_string(this->head->status));
    this->environment.metrics.counter("bluebell_answered_total", classLabel(this->request)).fetch_add(1);
    this->environment.metrics.observe("bluebell_total_seconds", classLabel(this->request),
        Foundation::toSeconds(this->environment.clock.now() - this->arrival));
    Foundation::logEvent(Event::RequestAnswered, this->request.id, this->link->instance().id);
    this->leaveAttempt();
    this->end();
    if (this->streamBegun) {
        this->exchange->finish();
        return;
    }
    Web::HttpReply reply = this->makeReplyHead();
    reply.body = std::move(this->wholeBody);
    this->exchange->respond(std::move(reply));
}

void RequestFlow::finishError(CallerError error)
{
    if (this->mayHaveRun && error.outcome == RunOutcome::NotRun)
        error.outcome = RunOutcome::MayHaveRun;
    const Foundation::ResultCodeEntry& entry = Foundation::resultCodeEntry(error.code);
    this->note("refused: " + std::string(entry.name));
    this->environment.metrics.countRefusal(error.code);
    Foundation::logEvent(Event::RequestRefused, this->request.id,
        std::string(entry.name) + ", " + std::string(Foundation::toString(error.outcome)));
    this->end();
    if (!this->streamBegun) {
        Web::HttpReply reply = errorReply(error, this->request.id);
        if (!this->request.idempotencyKey.empty())
            reply.headers.push_back({ "Idempotency-Key", this->request.idempotencyKey });
        this->exchange->respond(std::move(reply));
        return;
    }
    // An event says what happened, and the broken connection says that the answer is not whole.
    this->exchange->write("event: error\ndata: " + errorBody(error) + "\n\n");
    this->exchange->abort();
}

void RequestFlow::onDeadline()
{
    if (this->stage == Stage::Ended || !Foundation::isEnabled(Foundation::Mechanism::EntryDeadline))
        return;
    const bool wasOffered = !this->attempt.empty();
    const RunOutcome outcome = wasOffered ? RunOutcome::MayHaveRun : RunOutcome::NotRun;
    if (wasOffered)
        this->link->send(Wire::Cancel { this->attempt });
    this->leaveAttempt();
    this->finishError({ ResultCode::DeadlineExceeded, outcome, retryAfterDeadlineMs, "" });
}

void RequestFlow::onCallerGone()
{
    if (this->stage == Stage::Ended)
        return;
    this->note("the caller closed its connection");
    this->environment.metrics.countRefusal(ResultCode::CallerGone);
    if (!this->attempt.empty())
        this->link->send(Wire::Cancel { this->attempt });
    this->leaveAttempt();
    this->end();
}

void RequestFlow::leaveAttempt()
{
    if (this->attempt.empty())
        return;
    this->link->removeAttempt(this->attempt);
    this->attempt.clear();
    this->recoveryTimer.cancel();
}

void RequestFlow::end()
{
    this->stage = Stage::Ended;
    this->deadlineTimer.cancel();
    this->recoveryTimer.cancel();
    this->environment.traces.add(std::move(this->trace));
}

Foundation::Duration RequestFlow::remaining() const { return this->deadline - this->environment.clock.now(); }

const Route* RequestFlow::route() const
{
    if (!this->table->isComplete())
        return nullptr;
    if (this->request.kind == Wire::WorkKind::Prompt)
        return this->table->findModel(this->request.target);
    return this->table->findService(this->request.target);
}

void RequestFlow::note(std::string step)
{
    const auto elapsed = Foundation::toMilliseconds(this->environment.clock.now() - this->arrival);
    this->trace.steps.push_back("+" + std::to_string(elapsed) + " ms " + std::move(step));
}

bool RequestFlow::isStreamed() const
{
    return this->request.answerMode == AnswerMode::Streamed && this->head && this->head->status < firstErrorStatus;
}

Web::HttpReply RequestFlow::makeReplyHead() const
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
