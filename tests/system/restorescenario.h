#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** What happens to one gateway while the store comes back from an older copy. */
enum class RestoreFault : std::uint8_t { None, Pause, Kill, Twice };

struct RestoreScenarioResult {
    /** How long the slowest gateway took to apply the document that was written after the return, in ms. */
    std::int64_t slowestApplyMs = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

std::vector<RestoreFault> allRestoreFaults();
const char* toString(RestoreFault fault);

/**
 * Runs real gateways while their store comes back from a copy that lacks the last documents, a revoked key and the
 * addresses of the gateways. Checks that the key stays refused, that the next document is in force everywhere in time
 * and that the addresses are written again.
 */
RestoreScenarioResult runRestoreScenario(RestoreFault fault, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
