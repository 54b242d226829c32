#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** What happens while upstreams name the requests a second that they take from all gateways together. */
enum class LimitDisturbance : std::uint8_t {
    None,
    /** Gateways in turn are killed and started again. */
    Kill,
    /** Gateways in turn stand still for two seconds. */
    Pause,
    /** Half of the gateways start later, one after the other. */
    Join,
    /** Some of the gateways stop for good, one after the other. */
    Leave,
    /** The limits rise and fall. */
    Change,
};

struct LimitScenario {
    LimitDisturbance disturbance = LimitDisturbance::None;
    /** Whether the limited upstreams are engines that answer streams. */
    bool isStream = false;

    /** Returns a name of the form kill-calls or calm-streams. */
    std::string name() const;
};

struct LimitScenarioResult {
    std::size_t requests = 0;
    /** Those that arrived while limits were in force, by how they ended. */
    std::size_t answered = 0;
    std::size_t refused = 0;
    /** What the limits allowed in that time. */
    double allowed = 0;
    /** The largest number of arrivals at an upstream beyond its limit in a window, relative to what is tolerated. */
    double worstShare = 0;
    /** The longest time until a refusal, in ms. */
    std::int64_t slowestRefusalMs = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

std::vector<LimitScenario> allLimitScenarios();

/**
 * Runs more gateways than the limits of the upstreams have requests a second. Checks that the gateways together keep
 * the limits and use them, and that the other requests are refused at once with a time to come back.
 */
LimitScenarioResult runLimitScenario(
    const LimitScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
