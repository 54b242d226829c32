#pragma once

#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <cstdint>

namespace Relay {

/** How to continue a request after a failed attempt. */
enum class FailoverAction : std::uint8_t {
    /** Send the request to another upstream; it has not run. */
    Reroute,
    /** Run the request again at another upstream; nothing has been delivered to the caller. */
    Retry,
    /** Resume the stream at another upstream after the last event that was delivered to the caller. */
    Resume,
    /** End the request with an error. */
    Fail,
};

/** The progress of a request when an attempt ends without a complete answer. */
struct RequestProgress {
    Foundation::RunOutcome outcome = Foundation::RunOutcome::MayHaveRun;
    /** Whether the request is allowed to run more than once. */
    bool isRepeatable = false;
    /** Whether a part of the answer was delivered to the caller. */
    bool hasDelivered = false;
    /** Whether the last delivered event has an id to resume after. */
    bool canResume = false;
    /** The number of attempts in which the request may have run, and its maximum. */
    int runs = 0;
    int maximumRuns = 1;
    /** The number of times the request was sent, including rejected ones. */
    int sends = 1;
    Foundation::Duration timeLeft {};
};

/** Decides how to continue a request. The caller has to check the retry budget before it sends the request again. */
FailoverAction chooseFailoverAction(const RequestProgress& progress);

} // namespace Relay
