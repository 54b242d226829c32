#pragma once

#include "failoveraction.h"

#include <foundation/clock.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>

namespace Relay {

/**
 * How long memory that is reserved elsewhere waits for the answer beyond the time at which it was expected. The memory
 * must be free 4 s after the run that used it has ended; a second is left for the check and the order.
 */
constexpr Foundation::Duration memoryWaitBeyondAnswer = std::chrono::seconds(3);

/**
 * How long a sound upstream may send nothing beyond what its work takes. Upstreams may fall silent for a second or so
 * and go on; this is twice that.
 */
constexpr Foundation::Duration longestSoundSilence = std::chrono::seconds(2);

/** What to do about an attempt whose upstream sends nothing. */
enum class SilenceAction : std::uint8_t {
    /** The upstream is not late yet. */
    Wait,
    /** The upstream is late but may go on, and the request cannot be sent elsewhere now. */
    Keep,
    /** The request is continued at another upstream. */
    FailOver,
    /** The upstream has most likely ended, and the request cannot be sent elsewhere. */
    End,
    /** The upstream has most likely ended, and what it has sent is still delivered: only memory is released. */
    Release,
};

/** Why a silent attempt is not failed over. */
enum class KeepReason : std::uint8_t {
    None,
    MustNotRunAgain,
    NoRoomElsewhere,
    RetryBudgetSpent,
};

/** An attempt whose upstream sends nothing, and what is known of both. */
struct SilentAttempt {
    /** The time since the last data of the answer, or since the request was sent. */
    Foundation::Duration silence {};
    /** The time since the answer last came closer to its end; at least the silence, and longer if mere bytes arrive. */
    Foundation::Duration stall {};
    /** The silence that is expected of an upstream that is as fast as usual. */
    Foundation::Duration expectedSilence {};
    /** The silence after which a listed upstream counts as late. */
    Foundation::Duration inactivityTimeout {};
    /** Whether the upstream is no longer listed, or its address refuses connections. */
    bool isUpstreamDoubtful = false;
    /** The time since the upstream became doubtful, or since it last proved that it runs. */
    Foundation::Duration doubt {};
    /** Whether other upstreams reserve memory for the attempt. */
    bool holdsMemoryElsewhere = false;
    /** The silence after which the run has most likely ended and its answer is lost; memory elsewhere waits no longer.
     */
    Foundation::Duration memorySilence = Foundation::Duration::max();
    /** Whether the stream is not read until its caller has received more of it, so that its silence says nothing. */
    bool isPaused = false;
    /** How the request goes on if the attempt ends. */
    FailoverAction failover = FailoverAction::Fail;
    /** Whether the request can wait in a queue until another upstream has room. */
    bool canQueue = true;
};

struct SilenceDecision {
    SilenceAction action = SilenceAction::Wait;
    KeepReason reason = KeepReason::None;

    bool operator==(const SilenceDecision&) const = default;
};

/**
 * Returns whether the upstream of an attempt has most likely ended: it is doubtful, and no work explains its silence.
 * Memory that is reserved elsewhere does not wait for long work, but until a sound upstream would have proved that it
 * runs.
 */
bool hasUpstreamEnded(const SilentAttempt& attempt);

/**
 * Returns whether memory that is reserved elsewhere must not wait for the answer of an attempt any longer: its upstream
 * goes on, but its run has most likely ended, and the answer is lost.
 */
bool isAnswerLost(const SilentAttempt& attempt);

/**
 * Decides what to do about an attempt that is silent, or paused for its caller. Silence alone never ends an attempt
 * that cannot go on elsewhere, unless memory is reserved elsewhere for it.
 * @param hasRoom returns whether another upstream could take the request now, or resume the stream in time.
 * @param spendRetry takes a unit of the retry budget and returns whether there was one.
 */
template <std::predicate HasRoom, std::predicate SpendRetry>
SilenceDecision decideOnSilence(const SilentAttempt& attempt, HasRoom hasRoom, SpendRetry spendRetry)
{
    const bool hasEnded = hasUpstreamEnded(attempt) || isAnswerLost(attempt);
    if (attempt.isPaused)
        return { hasEnded ? SilenceAction::Release : SilenceAction::Wait, KeepReason::None };
    const Foundation::Duration limit = attempt.isUpstreamDoubtful ? attempt.expectedSilence : attempt.inactivityTimeout;
    if (!hasEnded && std::max(attempt.silence, attempt.stall) < limit)
        return { SilenceAction::Wait, KeepReason::None };
    // A stream that has begun waits in the queue only if nothing else can continue it.
    const bool mustHaveRoom = !attempt.canQueue || (attempt.failover == FailoverAction::Resume && !hasEnded);
    KeepReason reason = KeepReason::None;
    if (attempt.failover == FailoverAction::Fail)
        reason = KeepReason::MustNotRunAgain;
    else if (mustHaveRoom && !hasRoom())
        reason = KeepReason::NoRoomElsewhere;
    else if (!spendRetry())
        reason = KeepReason::RetryBudgetSpent;
    if (reason == KeepReason::None)
        return { SilenceAction::FailOver, KeepReason::None };
    return { hasEnded ? SilenceAction::End : SilenceAction::Keep, reason };
}

/**
 * Returns from when on the silence of an attempt counts as a crash of its upstream. An upstream that has crashed sends
 * nothing on any connection, so data of its other answers puts that time off.
 * @param lastDataAt when the attempt last received data, or was sent.
 * @param crashSilence the silence beyond that which a sound upstream does not reach, by the work of the attempt.
 * @param lastUpstreamDataAt when any answer of the upstream last received data; none if it is not known.
 */
Foundation::TimePoint crashSuspectedFrom(Foundation::TimePoint lastDataAt, Foundation::Duration crashSilence,
    std::optional<Foundation::TimePoint> lastUpstreamDataAt);

/** Returns a short text for logs. */
const char* keepReasonText(KeepReason reason);

} // namespace Relay
