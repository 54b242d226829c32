#include "proxiedrequest.h"

#include "requesttext.h"

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
using Relay::Observation;

// No more of a stream is read while its caller has this many bytes to receive.
constexpr std::size_t maximumUnsentBytes = 128 * 1024;
// A rejection's body is read to its end, so that the connection can be reused, unless it is longer.
constexpr std::size_t maximumRejectionBytes = 16 * 1024;
constexpr int statusOk = 200;
constexpr std::string_view headMethod = "HEAD";

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
        this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Possible, "invalid answer");
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    const bool hasBody = this->exchange->request().method != headMethod;
    this->attempt->isStream = this->route->kind == RequestKind::Stream && status == statusOk && hasBody;
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
    // A growing string takes up to twice its size.
    this->attempt->memory->resize(this->attempt->body.capacity());
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
    this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Possible, "answer too large");
    this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerTooLarge, true);
}

void ProxiedRequest::onStreamData(std::string_view data)
{
    std::string completeEvents = this->events.feed(data);
    if (this->events.isOutOfOrder()) {
        this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Possible, "invalid answer");
        this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
        return;
    }
    // Parts that were read before a pause still arrive, beside what the caller has not received yet.
    const std::size_t partialBytes = this->events.partialEvent().capacity();
    this->attempt->memory->resize(partialBytes + completeEvents.capacity() + this->exchange->unsentBytes());
    if (partialBytes > this->attempt->memory->limit()) {
        this->onAnswerTooLarge();
        return;
    }
    if (!completeEvents.empty())
        this->forwardEvents(std::move(completeEvents));
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
    this->attempt->memory->resize(this->events.partialEvent().capacity() + unsentBytes);
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
    head.closesConnection = this->context.plannedStop.hasBegun();
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
    this->context.dispatcher.recordFirstEvent(assignment, actualDelay);
    this->context.ledger.recordPrefillDone(assignment.dispatchedRequestId);
    logEvent(Event::AttemptStarted, this->request.id,
        "upstream=" + assignment.upstreamGeneration + " first_event_ms=" + millisecondsText(actualDelay)
            + " expected_ms=" + millisecondsText(assignment.expectedFirstEventDelay));
    this->context.onLoadChanged(false);
}

bool ProxiedRequest::shouldRetryFailedAnswer() const
{
    const bool isFailure = this->attempt->head->status >= firstServerErrorStatus || !this->attempt->headers.isSigned;
    return isFailure && this->route->isRepeatable() && this->runs + 1 < this->maximumRuns()
        && this->timeLeft() > 2 * this->route->firstEventTarget;
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
    this->crashEvidence.exonerate(this->attempt->head->status < firstErrorStatus);
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
    reply.closesConnection = this->context.plannedStop.hasBegun();
    this->exchange->respond(std::move(reply));
    this->crashEvidence.exonerate(this->attempt->head->status < firstErrorStatus);
    this->closeAttempt(status >= firstServerErrorStatus ? Observation::Failed : Observation::Answered);
    const Duration took = this->context.clock.now() - this->arrivedAt;
    this->context.metrics.observe(
        "bluebell_answer_ms", "route=\"" + this->route->name + "\"", Foundation::toSeconds(took) * 1e3);
    logEvent(Event::RequestAnswered, this->request.id,
        "status=" + std::to_string(status) + " took_ms=" + millisecondsText(took));
    this->finish();
}

} // namespace Gateway
