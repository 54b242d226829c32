#pragma once

#include <configuration/environmentdocument.h>
#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <cstdint>

namespace Routing {

/** How to continue a request after an attempt without an answer. */
enum class RetryDecision : std::uint8_t {
    /** Offer the request to another upstream; the last attempt did not run. */
    Reroute,
    /** Run the request again at another upstream; requires one retry of the retry budget. */
    Retry,
    /** End the request with an error. */
    Fail,
};

/** The end of an attempt and the progress of its request so far. */
struct AttemptEnd {
    Foundation::RunOutcome outcome = Foundation::RunOutcome::MayHaveRun;
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
    Configuration::Repeatability repeatability = Configuration::Repeatability::Repeatable;
    /** Bytes of the answer already delivered to the caller. */
    std::uint64_t bytesDelivered = 0;
    int attempts = 1;
    /** The time until the deadline of the request. */
    Foundation::Duration remaining {};
};

/** Decides how to continue a request after an attempt ended without an answer. */
RetryDecision decideRetry(const AttemptEnd& end);

} // namespace Routing
