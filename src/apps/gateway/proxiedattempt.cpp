#include "proxiedrequest.h"

#include "requesttext.h"

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
using Relay::Observation;

// A silent upstream that does not read does not acknowledge a long body either.
constexpr auto unacknowledgedTimeout
    = std::chrono::duration_cast<std::chrono::milliseconds>(Relay::longestSoundSilence);
// Upstreams close idle connections after a few seconds, so connections that were idle for longer are not reused.
constexpr std::chrono::seconds maximumIdleConnectionAge { 2 };

std::string joinUpstreamNames(const std::vector<AssignedHelper>& helpers)
{
    std::string names;
    for (const AssignedHelper& helper : helpers)
        names += (names.empty() ? "" : ",") + helper.upstream;
    return names;
}

} // namespace

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
    call.sharedBody = source.sharedBody;
    // The attempt ends at the deadline at the latest; its call may be watched after that.
    call.timeout = this->timeLeft() + Relay::longestSoundSilence;
    call.connectTimeout = connectTimeout;
    call.unacknowledgedTimeout = unacknowledgedTimeout;
    call.maximumIdleAge = maximumIdleConnectionAge;
    call.answerId = PlatformAdapter::makeAnswerId(this->request.id);
    call.resend = Platform::Resend::Never;
    if (this->needsNewConnection())
        call.connectionUse = Platform::ConnectionUse::Dedicated;
    this->crashEvidence.announce(*this->attempt);
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
            + " waited_ms=" + millisecondsText(this->attempt->sentAt - this->arrivedAt)
            + " expected_ms=" + millisecondsText(assignment.expectedFirstEventDelay)
            + " send=" + std::to_string(this->sends) + " read_by=" + joinUpstreamNames(assignment.helpers)
            + " fingerprint=" + this->crashEvidence.fingerprint());
}

bool ProxiedRequest::needsNewConnection() const
{
    // The upstream may close a reused connection as idle when the request arrives on it. That costs a run, as the
    // request may have begun to run, so no request takes its only or its last run on one.
    const bool isLastRun = this->runs + 1 >= this->maximumRuns();
    const std::string& generation = this->attempt->assignment.upstreamGeneration;
    // A second copy of an earlier rejection would name this request, too.
    return !this->route->isRepeatable() || isLastRun || this->rejectingGenerations.contains(generation)
        || this->disconnectingGenerations.contains(generation);
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
            this->onLateBreak(attemptNumber, result);
        return;
    }
    if (result.outcome == Platform::CallOutcome::NotConnected) {
        this->onNotConnected(unconnectedObservation);
        return;
    }
    if (this->attempt->isRejected()) {
        this->onRejected();
        return;
    }
    if (result.isKeptConnectionLost) {
        this->onKeptConnectionLost(result);
        return;
    }
    if (const std::string defect = findDefect(result, *this->attempt, this->events); !defect.empty()) {
        logEvent(Event::AttemptFinished, this->request.id,
            "upstream=" + this->attempt->assignment.upstreamGeneration + " error=" + defect
                + " partial_event_bytes=" + std::to_string(this->events.partialEvent().size()));
        // A stream that is resumed after its last event is empty, so an orderly end before another one is no crash.
        const bool mayBeWhole
            = isWhole && this->hasStreamBegun && this->attempt->isPrefilling && !this->events.isInsideEvent();
        // Nor does an upstream that sends bytes that are no answer end thereby.
        const bool isAtWork = mayBeWhole || result.isMalformed;
        this->crashEvidence.record(*this->attempt,
            isAtWork ? Quarantine::CrashCertainty::Possible : Quarantine::CrashCertainty::Suspected, "broken");
        this->closeAttempt(isAtWork ? Observation::Failed : Observation::Broken);
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

void ProxiedRequest::onNotConnected(Observation observation)
{
    // The loss of a kept connection just before shows that the upstream has ended while it had the request.
    if (this->disconnectingGenerations.contains(this->attempt->assignment.upstreamGeneration))
        this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Suspected, "broken");
    else
        this->crashEvidence.withdraw(*this->attempt);
    this->closeAttempt(observation);
    this->onAttemptFailed(RunOutcome::NotRun, ResultCode::UpstreamDown, false);
}

void ProxiedRequest::onKeptConnectionLost(const Platform::HttpCallResult& result)
{
    const std::string& generation = this->attempt->assignment.upstreamGeneration;
    logEvent(Event::AttemptFinished, this->request.id, "upstream=" + generation + " error=" + result.error);
    this->disconnectingGenerations.insert(generation);
    // The upstream may have closed the connection as idle. The next connection to it shows whether it has ended.
    this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Possible, "kept connection lost");
    if (this->sendAgain(result.isLikelyUnread))
        return;
    this->checkLossOfConnection();
    this->closeAttempt(Observation::Failed);
    this->onAttemptFailed(RunOutcome::MayHaveRun, ResultCode::AnswerIncomplete, true);
}

bool ProxiedRequest::sendAgain(bool isLikelyUnread)
{
    // The first send may still use reserved memory, which two sends must not use at the same time.
    if (this->attempt->memoryReservation != 0)
        return false;
    Relay::RequestProgress progress = this->progressAfter(RunOutcome::MayHaveRun);
    // The request then still runs at no more upstreams than allowed, and at one of them it was most likely not read.
    const bool isExcused = isLikelyUnread && this->unreadSends == 0;
    progress.maximumRuns += isExcused ? 1 : 0;
    // The upstream may lose the next connection, too, so another one gets the last run if it has room.
    const bool isLastRun = progress.runs + 1 >= progress.maximumRuns;
    if (isLastRun && this->context.dispatcher.hasRoom(this->makeNextPrompt()))
        return false;
    const Relay::FailoverAction action = Relay::chooseFailoverAction(progress);
    if (action == Relay::FailoverAction::Fail || !this->trySpendRetry(this->context.clock.now()))
        return false;
    if (!this->context.dispatcher.tryAssignAgain(this->attempt->assignment, this->criteria)) {
        this->giveUnsentRetryBack();
        return false;
    }
    this->runs = progress.runs;
    this->unreadSends += isExcused ? 1 : 0;
    this->prepareFailover(action, ResultCode::AnswerIncomplete);
    const Assignment assignment = this->attempt->assignment;
    this->beginAttempt(assignment);
    return true;
}

void ProxiedRequest::checkLossOfConnection()
{
    const Assignment& assignment = this->attempt->assignment;
    Platform::HttpCall check = PlatformAdapter::makeStatusCheck(assignment.address, assignment.upstream);
    check.timeout = Relay::longestSoundSilence;
    check.connectTimeout = connectTimeout;
    check.connectionUse = Platform::ConnectionUse::Dedicated;
    this->context.transfers.fetch(std::move(check),
        [self = this->shared_from_this(), lost = *this->attempt](const Platform::HttpCallResult& result) {
            const std::string& generation = lost.assignment.upstreamGeneration;
            if (result.outcome == Platform::CallOutcome::NotConnected) {
                self->crashEvidence.record(lost, Quarantine::CrashCertainty::Suspected, "broken");
                self->recordObservation(generation, result.isRefused ? Observation::Refused : Observation::Unreachable);
            } else if (PlatformAdapter::isAnsweredBy(result, lost.assignment.upstream, generation)) {
                self->crashEvidence.withdraw(lost);
            }
        });
}

void ProxiedRequest::onRejected()
{
    this->crashEvidence.withdraw(*this->attempt);
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

} // namespace Gateway
