#pragma once

#include <cstdint>

namespace Membership {

/** Whether an upstream accepts new requests, and the reason if it does not. */
enum class Availability : std::uint8_t {
    Available,
    /** The agent has no configuration for the upstream, or does not know the engine's streams yet. */
    NotReady,
    /** An operator command has taken the upstream out. */
    TakenOut,
    /** The upstream or the platform's list has announced that the instance is about to stop. */
    Draining,
    /** The agent is shutting down. */
    ShuttingDown,
    /** The agent's health checks of the upstream fail. */
    Down,
};

/** A load report of an agent about its upstream. It may be stale, so entries use it only as a hint. */
struct UpstreamLoad {
    Availability availability = Availability::NotReady;
    /** Requests at the engine, including those that are being cancelled. */
    std::int64_t running = 0;
    /** Requests that wait at the agent. */
    std::int64_t queued = 0;
    /** The maximum number of requests at the engine. */
    std::int64_t concurrentLimit = 0;
    /** The expected time until the prefill of a new short prompt starts. */
    std::int64_t shortWaitMs = 0;
    /** The expected time until the prefill of a new long prompt starts. */
    std::int64_t longWaitMs = 0;
    /** Long prompts at the engine whose first token has not arrived. */
    std::int64_t longPrefills = 0;
    std::int64_t freeMemoryTokens = 0;
    std::int64_t capacityTokens = 0;
    std::int64_t prefillTokensPerSecond = 0;

    bool operator==(const UpstreamLoad&) const = default;
};

} // namespace Membership
