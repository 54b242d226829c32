#pragma once

#include <cstddef>
#include <optional>
#include <span>

namespace Placement {

/** What is known of an engine's load. */
struct EngineLevel {
    /** Requests that the engine holds, and the delay that it would add, in prefill times of the new request. */
    double level = 0;
    /** How many more requests it may be given; 0 excludes the engine. */
    double room = 0;
};

struct StaleLoadChoice {
    std::size_t index = 0;
    /** The number of unreported requests that are expected on this engine. */
    double unreportedRequests = 0;
};

/**
 * Chooses one of the engines whose known load is out of date, because other gateways choose at the same time. Fills the
 * expected unreported requests, and a margin of one request for each engine, onto the engines with the lowest level,
 * and draws an engine with the shares of this filling (M. Dahlin, "Interpreting Stale Load Information", 1999). The
 * margin covers errors of the expectation: without it the least loaded engines are given too much when a crowd begins.
 * @param engines in the same order in all gateways.
 * @param unreported the expected number of unreported requests.
 * @param draw a number in [0, 1); successive draws should be spread evenly.
 * @return none if no engine has room.
 */
std::optional<StaleLoadChoice> chooseByStaleLoad(std::span<const EngineLevel> engines, double unreported, double draw);

} // namespace Placement
