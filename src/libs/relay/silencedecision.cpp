#include "silencedecision.h"

namespace Relay {

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
