#pragma once

#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <cstdint>

namespace Relay {

enum class NextMove : std::uint8_t {
    /** Send the request elsewhere. It has not run. */
    SendElsewhere,
    /** Run it once more elsewhere; nothing has reached the caller. */
    RunAgain,
    /** Go on with the stream elsewhere, after the last event that the caller has. */
    Resume,
    /** End with an error. */
    Fail,
};

/** What a request has done when an attempt ends without its whole answer. */
struct RequestProgress {
    Foundation::RunOutcome outcome = Foundation::RunOutcome::MayHaveRun;
    /** Whether the request may run again after it may have run. */
    bool isRepeatable = false;
    /** Whether a part of the answer has reached the caller. */
    bool hasDelivered = false;
    /** Whether the last event that was delivered has an id to go on from. */
    bool canResume = false;
    /** Upstreams at which the request may have run, and the most that may be. */
    int runs = 0;
    int maximumRuns = 1;
    /** All sends so far, those that were rejected included. */
    int sends = 1;
    Foundation::Duration timeLeft {};
};

/**
 * Decides how a request goes on. The retry budget is asked afterwards, for what is sent once more.
 * @param progress what the request has done.
 * @return the next move.
 */
NextMove nextMove(const RequestProgress& progress);

} // namespace Relay
