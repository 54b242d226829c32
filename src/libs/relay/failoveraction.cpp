#include "failoveraction.h"

namespace Relay {

namespace {

// After this many sends the service is full, and the caller should wait before it retries.
constexpr int maximumSends = 4;
// A request with less time left is not sent again.
constexpr Foundation::Duration minimumTimeLeft = std::chrono::milliseconds(20);

} // namespace

FailoverAction chooseFailoverAction(const RequestProgress& progress)
{
    if (progress.timeLeft < minimumTimeLeft || progress.sends >= maximumSends)
        return FailoverAction::Fail;
    const bool mayHaveRun = progress.outcome != Foundation::RunOutcome::NotRun;
    if (mayHaveRun && (!progress.isRepeatable || progress.runs >= progress.maximumRuns))
        return FailoverAction::Fail;
    if (progress.hasDelivered)
        return progress.isRepeatable && progress.canResume ? FailoverAction::Resume : FailoverAction::Fail;
    return mayHaveRun ? FailoverAction::Retry : FailoverAction::Reroute;
}

} // namespace Relay
