#include "silencedecision.h"

namespace Relay {

bool hasUpstreamEnded(const SilentAttempt& attempt)
{
    if (!attempt.isUpstreamDoubtful || attempt.silence < longestSoundSilence)
        return false;
    const bool isLate = !attempt.isPaused && attempt.silence >= attempt.expectedSilence;
    return isLate || (attempt.holdsMemoryElsewhere && attempt.doubt >= longestSoundSilence);
}

bool isAnswerLost(const SilentAttempt& attempt)
{
    return attempt.holdsMemoryElsewhere && !attempt.isPaused && attempt.silence >= attempt.memorySilence;
}

Foundation::TimePoint crashSuspectedFrom(Foundation::TimePoint lastDataAt, Foundation::Duration crashSilence,
    std::optional<Foundation::TimePoint> lastUpstreamDataAt)
{
    const Foundation::TimePoint byAttempt = lastDataAt + crashSilence;
    return lastUpstreamDataAt ? std::max(byAttempt, *lastUpstreamDataAt + longestSoundSilence) : byAttempt;
}

const char* keepReasonText(KeepReason reason)
{
    switch (reason) {
    case KeepReason::None:
        return "none";
    case KeepReason::MustNotRunAgain:
        return "the request must not run again";
    case KeepReason::NoRoomElsewhere:
        return "no other upstream has room";
    case KeepReason::RetryBudgetSpent:
        return "the retry budget is spent";
    }
    return "";
}

} // namespace Relay
