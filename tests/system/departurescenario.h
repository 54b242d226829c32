#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** How upstreams depart around the time at which the store serves a failure domain again. */
enum class Departure : std::uint8_t {
    /** The upstreams say that they leave, and their entries are removed shortly afterwards. */
    Leave,
    /** The entries expire, and the upstreams write them again later. */
    Lapse,
    /** The upstreams are replaced by new generations under the same ids. */
    Restart,
    /** The entries are removed without a word of the upstreams. */
    Remove,
    /** All entries of a service expire in an outage for all gateways, after which the upstreams write them again. */
    LapseEverywhere,
};

struct DepartureScenarioResult {
    std::size_t servedCalls = 0;
    std::size_t calls = 0;
    /** The latest run at an upstream that has departed, in ms after its departure was written to the store. */
    std::int64_t latestRunMs = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

std::vector<Departure> allDepartures();
const char* toString(Departure departure);

/**
 * Runs gateways of three failure domains while the store turns those of one away and upstreams depart. Checks that no
 * request reaches an upstream later than the users' limit after its departure, that upstreams that are listed again get
 * requests, and that an outage for all costs no call.
 */
DepartureScenarioResult runDepartureScenario(
    Departure departure, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
