#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <string>

namespace Quarantine {

/** How certain it is that a request was running when an upstream crashed. */
enum class CrashCertainty : std::uint8_t {
    /** The attempt ended for another reason, so it counts only if the generation of the upstream ends soon. */
    Possible,
    /** The attempt failed as it does at a crash. Counts for a limited time unless the generation has ended. */
    Suspected,
    /** The generation of the upstream has ended. */
    Confirmed,
};

/** A crash of an upstream and one of the requests that were running at that time. */
struct CrashNotice {
    std::string fingerprint;
    /** Identifies the crash by the instance and the generation that ended. */
    std::string crash;
    CrashCertainty certainty = CrashCertainty::Confirmed;

    auto operator<=>(const CrashNotice&) const = default;
};

/** A request that runs to its end, so that it crashes no upstreams. */
struct RequestCompletion {
    std::string fingerprint;
    /** The time since it last ran to its end. */
    Foundation::Duration age {};
    /** How often it has run to its end since it was first seen to. */
    std::size_t count = 0;
};

} // namespace Quarantine
