#include "nextmove.h"

namespace Relay {

namespace {

// Rejections that one request goes through; by then the service is full, and the caller had better wait.
constexpr int maximumSends = 4;
// A request with less time left is not worth another send.
constexpr Foundation::Duration leastTime = std::chrono::milliseconds(20);

} // namespace

NextMove nextMove(const RequestProgress& progress)
{
    if (progress.timeLeft < leastTime || progress.sends >= maximumSends)
        return NextMove::Fail;
    const bool mayHaveRun = progress.outcome != Foundation::RunOutcome::NotRun;
    if (mayHaveRun && (!progress.isRepeatable || progress.runs >= progress.maximumRuns))
        return NextMove::Fail;
    if (progress.hasDelivered)
        return progress.isRepeatable && progress.canResume ? NextMove::Resume : NextMove::Fail;
    return mayHaveRun ? NextMove::RunAgain : NextMove::SendElsewhere;
}

} // namespace Relay
