#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Policy {

/** How fast a model engine works and what it holds. */
struct EngineProfile {
    /** Requests that write at the same time. */
    int slots = 1;
    std::int64_t memoryTokens = 0;
    double stepMs = 1;
    double stepMsPerRequest = 0;
    double stepMsPerThousandContextTokens = 0;
    double promptTokensPerMs = 1;
    /** Time for a million pairs of a prompt token and an earlier one. */
    double msPerMillionPairs = 0;
    /** Steps of a pass in which requests write; an event of a stream follows each pass. */
    int stepsPerPass = 1;
};

struct ServiceProfile {
    std::string name;
    /** Requests a second that a cold upstream bears; 0: no limit. */
    double coldStartsPerSecond = 0;
    /** Absent for services that are no model engines. */
    std::optional<EngineProfile> engine;
};

} // namespace Policy
