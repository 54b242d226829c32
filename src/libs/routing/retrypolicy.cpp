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

NextStep nextStepAfter(const AttemptEnd& end)
{
    if (end.bytesDelivered > 0 || end.attempts >= maximumAttempts || end.remaining < minimumTimeLeft)
        return NextStep::GiveUp;
    if (isFinal(end.code))
        return NextStep::GiveUp;
    if (end.outcome == RunOutcome::NotRun)
        return NextStep::Reroute;
    if (end.outcome == RunOutcome::Ran)
        return NextStep::GiveUp;
    const bool isRepeatable = end.repeatability == Configuration::Repeatability::Repeatable;
    return isRepeatable ? NextStep::RunAgain : NextStep::GiveUp;
}

} // namespace Routing
