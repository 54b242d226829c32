#include "silencelimits.h"

#include <algorithm>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using Policy::RequestKind;
using Relay::FailoverAction;

// If a prefill helper is gone, the engine stalls for 1.5 s before it rejects the prompt.
constexpr Duration helperFailureAllowance = std::chrono::milliseconds(1'800);
// Added to twice the expected delay: a first event that is later than that most likely never arrives.
constexpr Duration firstEventAllowance = std::chrono::milliseconds(900);
// Added to twice the event-gap target before a stream counts as stalled.
constexpr Duration eventGapAllowance = std::chrono::milliseconds(700);

} // namespace

SilenceLimits::SilenceLimits(const ProxyContext& context, const Policy::Route& route)
    : context(context)
    , route(route)
{
}

Relay::SilentAttempt SilenceLimits::describe(
    const Attempt& silent, TimePoint now, FailoverAction failover, const std::string& service) const
{
    return { .silence = now - silent.lastDataAt,
        .stall = now - silent.lastProgressAt,
        .expectedSilence = this->expectedSilence(silent),
        .inactivityTimeout = this->inactivityTimeout(silent),
        .isUpstreamDoubtful = this->isUpstreamDoubtful(silent),
        .doubt = now - silent.doubtfulSince.value_or(now),
        .holdsMemoryElsewhere = silent.memoryReservation != 0,
        .memorySilence = this->answerSilence(silent) + Relay::memoryWaitBeyondAnswer,
        .isPaused = silent.isPaused,
        .failover = failover,
        .canQueue = this->context.dispatcher.isEngineService(service) };
}

bool SilenceLimits::isAnswerLost(const Attempt& silent, TimePoint now) const
{
    return Relay::isAnswerLost(this->describe(silent, now, FailoverAction::Fail, {}));
}

Duration SilenceLimits::answerSilence(const Attempt& silent) const
{
    return silent.isPrefilling ? silent.assignment.expectedFirstEventDelay : this->route.eventGapTarget;
}

bool SilenceLimits::isUpstreamDoubtful(const Attempt& silent) const
{
    const std::string& generation = silent.assignment.upstreamGeneration;
    return this->context.storeSynchronizer.directory().hasEndedUnexpectedly(generation)
        || this->context.health.hasRefusedSince(generation, silent.sentAt);
}

bool SilenceLimits::isUpstreamSilent(const Attempt& silent, TimePoint now) const
{
    const Duration silence = now - silent.lastDataAt;
    // A doubtful upstream need not be late by much to be taken as down.
    return now - silent.lastProgressAt >= this->inactivityTimeout(silent)
        || (silence >= this->expectedSilence(silent) && this->isUpstreamDoubtful(silent));
}

bool SilenceLimits::isLate(const Attempt& silent) const
{
    return this->context.clock.now() - silent.lastDataAt >= this->expectedSilence(silent);
}

TimePoint SilenceLimits::crashSuspectedFrom(const Attempt& silent) const
{
    // What a doubtful upstream sent before its end says nothing.
    const auto lastUpstreamDataAt = this->isUpstreamDoubtful(silent)
        ? std::nullopt
        : this->context.health.lastDataAt(silent.assignment.upstreamGeneration);
    return Relay::crashSuspectedFrom(silent.lastDataAt, this->crashSilence(silent), lastUpstreamDataAt);
}

Duration SilenceLimits::crashSilence(const Attempt& silent) const
{
    if (this->isUpstreamDoubtful(silent))
        return std::max(this->expectedSilence(silent), Relay::longestSoundSilence);
    // Beside its silence, an upstream may take twice as long as expected.
    Duration work = this->route.eventGapTarget;
    if (this->route.kind != RequestKind::Stream)
        work = this->route.firstEventTarget;
    else if (silent.isPrefilling)
        work = 2 * silent.assignment.expectedFirstEventDelay;
    return std::max(this->inactivityTimeout(silent), work + Relay::longestSoundSilence);
}

Duration SilenceLimits::expectedSilence(const Attempt& silent) const
{
    if (this->route.kind != RequestKind::Stream)
        return std::max(minimumCallInactivityTimeout, this->route.firstEventTarget);
    if (!silent.isPrefilling)
        return this->route.eventGapTarget + eventGapAllowance;
    return silent.assignment.expectedFirstEventDelay + firstEventAllowance;
}

Duration SilenceLimits::inactivityTimeout(const Attempt& silent) const
{
    if (this->route.kind != RequestKind::Stream)
        return std::max(minimumCallInactivityTimeout, 2 * this->route.firstEventTarget);
    if (!silent.isPrefilling)
        return 2 * this->route.eventGapTarget + eventGapAllowance;
    const Assignment& assignment = silent.assignment;
    if (assignment.helpers.empty())
        return 2 * assignment.expectedFirstEventDelay + firstEventAllowance;
    // Failing over repeats the prefill on as many engines and would hardly meet the first-event target, so wait longer.
    return std::max(2 * assignment.expectedFirstEventDelay, this->route.firstEventTarget) + helperFailureAllowance;
}

} // namespace Gateway
