#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** What happens while the store comes back from an older copy. */
enum class RestoreFault : std::uint8_t {
    None,
    /** One gateway is stopped by a signal, or killed and started again. */
    Pause,
    Kill,
    /** The store comes back twice in a row. */
    Twice,
    /** The store turns one gateway away until the next document is in force. */
    CutOff,
    /** One gateway runs for the first time. */
    FirstStart,
    /** The operator writes many documents in a row. */
    Burst,
    /** The copy lacks a document that was acknowledged just before. */
    Acknowledged,
    /** The copy lacks the evacuation of a failure domain, or has one that has ended. */
    Evacuated,
    EvacuationEnded,
    /** The copy lacks the crash notices against a request. */
    CrashNotices,
    /** There are as many gateways as on a large site, and all write again. */
    ThirtyGateways,
};

struct RestoreScenarioResult {
    /** How long the slowest gateway took to apply the document that was written after the return, in ms. */
    std::int64_t slowestApplyMs = 0;
    /** The numbers of calls in the store's busiest second after the return. */
    std::size_t busiestReads = 0;
    std::size_t busiestWrites = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

std::vector<RestoreFault> allRestoreFaults();
const char* toString(RestoreFault fault);

/**
 * Runs real gateways while their store comes back from a copy that lacks the last documents, a revoked key and the
 * addresses of the gateways. Checks that the key stays refused, that the next document is in force everywhere in time
 * and that the gateways write again what they wrote, within the store's rates.
 */
RestoreScenarioResult runRestoreScenario(RestoreFault fault, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
