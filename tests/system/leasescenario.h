#pragma once

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** How the work on a prompt that holds memory at several engines ends. */
enum class WorkEnding : std::uint8_t {
    /** The engine of the third send falls silent for ever before the first event. */
    SilentCrash,
    /** It falls silent for ever after the stream has begun. */
    LateSilentCrash,
    /** It falls silent for ever in a prefill that takes longer than its entry lasts. */
    SilentCrashInLongPrefill,
    /** It falls silent for ever while its stream is not read, as its caller receives it slowly. */
    SilentCrashOfPausedStream,
    /** Its process ends, so that its connections are reset. */
    Reset,
    LateReset,
    /** The engine's entry is removed in a long prefill, and the engine ends its work before it stops. */
    EngineLeaves,
    CallerLeaves,
    /** All engines reject the prompt. */
    Rejected,
    /** All engines reject the prompt, and the rejections have no end. */
    UnfinishedRejection,
    GatewayKilled,
    /** The gateway gets SIGTERM and does not wait for the end of the stream. */
    GatewayStopped,
};

struct LeaseScenarioResult {
    /** How long memory was held after the work had ended, in ms; 0 if it ended earlier. */
    std::int64_t heldMs = 0;
    /** When the caller had an answer, in ms after the work had ended. */
    std::int64_t answeredMs = 0;
    std::size_t leases = 0;
    int status = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

std::vector<WorkEnding> allWorkEndings();
const char* toString(WorkEnding ending);

/**
 * Sends one prompt that needs the memory of several engines, and ends the work on it. Checks that no engine holds
 * memory for it longer than the users' limit after the gateway could know that its work was over, and that its caller
 * gets a true answer.
 */
LeaseScenarioResult runLeaseScenario(WorkEnding ending, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
