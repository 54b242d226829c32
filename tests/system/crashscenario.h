#pragma once

#include "gatewaydisturbance.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** The kind of a request that crashes upstreams. */
enum class CrashRequestKind : std::uint8_t { Safe, Unsafe, Stream };

/** A request that crashes every upstream that runs it, and how its callers and the gateways behave meanwhile. */
struct CrashScenario {
    CrashRequestKind kind = CrashRequestKind::Safe;
    /** Whether the upstream falls silent instead of resetting its connections. */
    bool isSilent = false;
    /** Whether it crashes in the middle of the run instead of at once. */
    bool isLate = false;
    /** Whether callers leave before they can see the crash. */
    bool callersLeave = false;
    GatewayFault fault = GatewayFault::None;

    /** Returns a name of the form stream-silence-late-leave-pause. */
    std::string name() const;
};

/** What upstreams and callers saw in a run of a scenario. */
struct CrashScenarioResult {
    std::size_t crashes = 0;
    /** Runs that gateways in touch began later than the stability window after the third crash. */
    std::size_t lateRuns = 0;
    std::size_t servedCalls = 0;
    std::size_t otherCalls = 0;
    /** Requests that crash nothing and that were refused as if they did. */
    std::size_t wrongRefusals = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

/** Returns all combinations. */
std::vector<CrashScenario> allCrashScenarios();

/**
 * Runs a scenario with real processes and checks that the request reaches upstreams in three late runs at most, and
 * that other requests are served.
 */
CrashScenarioResult runCrashScenario(
    const CrashScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
