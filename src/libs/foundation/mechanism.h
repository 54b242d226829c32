#pragma once

#include <cstdint>

namespace Foundation {

/** Safety mechanisms. A test build can switch each one off, to show that the test of the mechanism then fails. */
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
    AnswerMemory,
};

#ifdef BLUEBELL_MECHANISM_SWITCHES
/** Returns false if the environment variable BLUEBELL_DISABLED_MECHANISM is the name of the mechanism. */
bool isEnabled(Mechanism mechanism);
#else
constexpr bool isEnabled(Mechanism) { return true; }
#endif

} // namespace Foundation
