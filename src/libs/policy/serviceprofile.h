#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Policy {

/**
 * The speed and capacity of a model engine. The engine decodes in cycles of several steps; after each cycle every
 * stream has one event.
 */
struct EngineProfile {
    /** The maximum number of requests that decode at the same time. */
    int slots = 1;
    /** The KV-cache capacity. */
    std::int64_t memoryTokens = 0;
    /** The time of a decode step without requests and context. */
    double stepMs = 1;
    double stepMsPerRequest = 0;
    double stepMsPerThousandContextTokens = 0;
    /** The prefill rate without the attention time. */
    double prefillTokensPerMs = 1;
    /** The attention time for a million pairs of a prompt token and an earlier token. */
    double prefillMsPerMillionTokenPairs = 0;
    /** Decode steps per cycle, that is, per event of a stream. */
    int stepsPerCycle = 1;
};

/** The properties of a service and of its upstreams. */
struct ServiceProfile {
    std::string name;
    /** The maximum rate at which requests may start at a cold upstream; 0: no limit. */
    double coldStartsPerSecond = 0;
    /** Absent for services that do not run on model engines. */
    std::optional<EngineProfile> engine;
};

} // namespace Policy
