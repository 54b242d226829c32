#pragma once

#include "crashnotice.h"

#include <foundation/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Quarantine {

/** Identifies a part of a prompt that several requests may share. */
using PromptPart = std::uint64_t;

/** A crash of an upstream and the prompt parts of requests that were running at that time. */
struct PartCrash {
    /** Identifies the crash like CrashNotice::crash. */
    std::string crash;
    CrashCertainty certainty = CrashCertainty::Confirmed;
    /** When the upstream was last known to run. */
    Foundation::TimePoint aliveAt {};
    /** When the attempts were lost; the crash happened between the two times unless it is only possible. */
    Foundation::TimePoint lostAt {};
    std::vector<PromptPart> parts;
};

/** When a request with a part last ran to its end. */
struct PartCompletion {
    PromptPart part = 0;
    Foundation::TimePoint completedAt {};
};

} // namespace Quarantine
