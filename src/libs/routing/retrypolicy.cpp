#include "retrypolicy.h"

namespace Routing {

namespace {

using Foundation::ResultCode;
using Foundation::RunOutcome;

constexpr int maximumAttempts = 4;
constexpr Foundation::Duration minimumTimeLeft = std::chrono::milliseconds(5);

// Returns whether another upstream would give the same result.
bool isFinal(ResultCode code)
{
    switch (code) {
    case ResultCode::IdempotencyKeyReused:
    case ResultCode::ClaimedElsewhere:
    case ResultCode::Quarantined:
    case ResultCode::MalformedRequest:
    case ResultCode::UnknownModel:
    case ResultCode::UnknownService:
    case ResultCode::ClaimLogUnavailable:
    case ResultCode::ClaimWindowUncovered:
    case ResultCode::AccountRate:
    case ResultCode::DeadlineExceeded:
        return true;
    default:
        return false;
    }
}

} // namespace

RetryDecision decideRetry(const AttemptEnd& end)
{
    if (end.bytesDelivered > 0 || end.attempts >= maximumAttempts || end.remaining < minimumTimeLeft)
        return RetryDecision::Fail;
    if (isFinal(end.code))
        return RetryDecision::Fail;
    if (end.outcome == RunOutcome::NotRun)
        return RetryDecision::Reroute;
    if (end.outcome == RunOutcome::Ran)
        return RetryDecision::Fail;
    const bool isRepeatable = end.repeatability == Configuration::Repeatability::Repeatable;
    return isRepeatable ? RetryDecision::Retry : RetryDecision::Fail;
}

} // namespace Routing
