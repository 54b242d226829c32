#pragma once

#include <cstdint>

namespace Foundation {

/**
 * Safety mechanisms that a test build can switch off. This shows that the test of each mechanism fails without it.
 */
enum class Mechanism : std::uint8_t {
    EntryDeadline,
    UpstreamCancel,
    StartupRamp,
    TakeOut,
    Leaving,
    AnswerCheck,
    RevokeProof,
    Claims,
    PeerConfiguration,
    GracefulShutdown,
    Quarantine,
    MemoryLedger,
};

#ifdef BLUEBELL_MECHANISM_SWITCHES
/** Returns false if the environment variable BLUEBELL_DISABLED_MECHANISM contains the name of the mechanism. */
bool isEnabled(Mechanism mechanism);
#else
constexpr bool isEnabled(Mechanism) { return true; }
#endif

} // namespace Foundation
