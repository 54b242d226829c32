#include "mechanism.h"

#ifdef BLUEBELL_MECHANISM_SWITCHES

#include <array>
#include <cstdlib>
#include <string_view>

namespace Foundation {

namespace {

constexpr auto names = std::to_array<std::string_view>(
    { "EntryDeadline", "UpstreamCancel", "StartupRamp", "TakeOut", "Leaving", "AnswerCheck", "RevokeProof", "Claims",
        "PeerConfiguration", "GracefulShutdown", "Quarantine", "MemoryLedger", "AnswerMemory" });

} // namespace

bool isEnabled(Mechanism mechanism)
{
    static const char* const disabled = std::getenv("BLUEBELL_DISABLED_MECHANISM");
    return !disabled || names[static_cast<std::size_t>(mechanism)] != disabled;
}

} // namespace Foundation

#endif
