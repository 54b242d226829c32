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
using Relay::FailoverAction;
using Relay::Observation;
using Relay::SilenceAction;

// After a failover that found no other upstream, the next one waits as long as the shortest silence that causes one.
constexpr Duration failoverRepeatInterval = minimumCallInactivityTimeout;
// How long after its answer to a status check a doubtful upstream is asked again.
constexpr Duration statusCheckInterval = std::chrono::milliseconds(500);

} // namespace

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

void ProxiedRequest::onLateBreak(std::uint64_t attemptNumber, const Platform::HttpCallResult& result)
{
    // An upstream that was silent closes kept connections as idle before it reads what has come on them. One that sends
    // bytes that are no answer has not ended either.
    const bool isAtWork = result.isKeptConnectionLost || result.isMalformed;
    if (const auto broken = this->takeParkedAttempt(attemptNumber)) {
        this->logLateBreak(broken->attempt.assignment.upstreamGeneration, result.error);
        this->crashEvidence.record(broken->attempt,
            isAtWork ? Quarantine::CrashCertainty::Possible : Quarantine::CrashCertainty::Suspected, "broken");
        this->releaseAttempt(broken->attempt, isAtWork ? Observation::Failed : Observation::Broken);
        return;
    }
    const auto found = this->watchedCalls.find(attemptNumber);
    if (found == this->watchedCalls.end())
        return;
    const auto watched = this->context.silenceWatch.take(found->second);
    this->watchedCalls.erase(found);
    if (!watched)
        return;
    this->logLateBreak(watched->generation, result.error);
    if (!isAtWork)
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
        this->crashEvidence.withdraw(unconnected->attempt);
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
    if (this->silenceLimits().isLate(*this->attempt))
        this->context.onSilenceEnded(this->attempt->assignment.upstreamGeneration);
    return true;
}

void ProxiedRequest::returnToParkedAttempt(std::uint64_t attemptNumber)
{
    std::optional<ParkedAttempt> resumed = this->takeParkedAttempt(attemptNumber);
    if (!resumed)
        return;
    if (this->placementWait)
        this->placementWait->withdraw();
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
        if (this->silenceLimits().isLate(dropped.attempt))
            this->watchSilentAttempt(dropped.attempt, dropped.number);
        this->releaseAttempt(dropped.attempt, std::nullopt);
    }
}

void ProxiedRequest::checkParkedAttempts(TimePoint now)
{
    std::vector<std::uint64_t> endedNumbers;
    for (ParkedAttempt& parked : this->parkedAttempts) {
        if (now < this->silenceLimits().crashSuspectedFrom(parked.attempt))
            continue;
        if (!std::exchange(parked.attempt.isCrashRecorded, true)) {
            this->crashEvidence.record(parked.attempt, Quarantine::CrashCertainty::Suspected, "silent");
            this->recordObservation(parked.attempt.assignment.upstreamGeneration, Observation::Silent);
        }
        // A listed upstream may only be slow.
        if (this->silenceLimits().isUpstreamDoubtful(parked.attempt))
            endedNumbers.push_back(parked.number);
    }
    for (const std::uint64_t number : endedNumbers) {
        if (const auto ended = this->takeParkedAttempt(number))
            this->releaseAttempt(ended->attempt, std::nullopt);
    }
}

void ProxiedRequest::onParkedStreamData(ParkedAttempt& parked, std::string_view data)
{
    const std::uint64_t number = parked.number;
    parked.attempt.lastDataAt = this->context.clock.now();
    this->context.health.recordData(parked.attempt.assignment.upstreamGeneration, parked.attempt.lastDataAt);
    std::string completeEvents = parked.events.feed(data);
    parked.attempt.memory->resize(parked.events.partialEvent().capacity());
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
    this->crashEvidence.record(invalid->attempt, Quarantine::CrashCertainty::Possible, "invalid answer");
    this->releaseAttempt(invalid->attempt, Observation::Failed);
}

void ProxiedRequest::handleSilence(TimePoint now)
{
    if (now < this->attempt->failoverNotBefore)
        return;
    // Silence is too little to run a suspect elsewhere.
    const bool isSuspect = !this->silenceLimits().isUpstreamDoubtful(*this->attempt)
        && this->context.suspects.status(this->crashEvidence.fingerprint()) != Quarantine::QuarantineStatus::Clear;
    const FailoverAction action
        = isSuspect ? FailoverAction::Fail : Relay::chooseFailoverAction(this->progressAfter(RunOutcome::MayHaveRun));
    const Relay::SilentAttempt silent
        = this->silenceLimits().describe(*this->attempt, now, action, this->criteria.service);
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
    if (now >= this->silenceLimits().crashSuspectedFrom(*this->attempt)
        && !std::exchange(this->attempt->isCrashRecorded, true))
        this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Suspected, "silent");
}

void ProxiedRequest::releaseMemoryOfPausedAttempt()
{
    const Duration silence = this->context.clock.now() - this->attempt->lastDataAt;
    logEvent(Event::AttemptSilent, this->request.id,
        "upstream=" + this->attempt->assignment.upstreamGeneration + " silent_ms=" + millisecondsText(silence)
            + " reason=the upstream has ended, and the caller still receives what it sent");
    if (!std::exchange(this->attempt->isCrashRecorded, true))
        this->crashEvidence.record(*this->attempt, Quarantine::CrashCertainty::Suspected, "upstream ended");
    this->context.memoryLeases.release(std::exchange(this->attempt->memoryReservation, 0));
    this->attempt->doubtfulSince.reset();
}

void ProxiedRequest::updateDoubt(TimePoint now)
{
    if (this->attempt->memoryReservation == 0)
        return;
    if (!this->silenceLimits().isUpstreamDoubtful(*this->attempt)) {
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

void ProxiedRequest::watchSilentAttempt(Attempt& silent, std::uint64_t number)
{
    const auto notice = this->crashEvidence.possibleCrash(silent);
    const TimePoint countsFrom = this->silenceLimits().crashSuspectedFrom(silent);
    const bool isDecided = !notice || this->context.clock.now() >= countsFrom;
    if (silent.call == 0 || silent.isRejected() || isDecided)
        return;
    silent.isWatched
        = this->context.silenceWatch.add({ silent.call, silent.assignment.upstreamGeneration, *notice, countsFrom });
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
            + " silent_ms=" + millisecondsText(silence) + " fingerprint=" + this->crashEvidence.fingerprint());
    const bool looksLikeCrash = now >= this->silenceLimits().crashSuspectedFrom(*this->attempt)
        || Relay::hasUpstreamEnded(
            this->silenceLimits().describe(*this->attempt, now, FailoverAction::Fail, this->criteria.service));
    this->crashEvidence.record(*this->attempt,
        looksLikeCrash ? Quarantine::CrashCertainty::Suspected : Quarantine::CrashCertainty::Possible, ending);
}

} // namespace Gateway
