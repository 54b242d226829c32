#pragma once

#include "gatewaydisturbance.h"
#include "partprompts.h"
#include "proofprogram.h"

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** Where the answer of an upstream ends that crashes. */
enum class PartCrashPlace : std::uint8_t { BeforeHead, FirstEvent, AfterThreeEvents };

/** What disturbs upstreams other than a crashing part. */
enum class UpstreamFault : std::uint8_t {
    None,
    /** One crashes about every second. */
    Chance,
    /** Half of them crash at the same moment, twice. */
    Together,
    /** One at a time or several fall silent for up to 1.7 s and go on. */
    Pauses,
};

/** Prompts with a part that crashes every upstream that answers them, or none such and upstreams with other faults. */
struct PartScenario {
    /** Whether the upstream falls silent instead of resetting its connections. */
    bool isSilent = false;
    PartCrashPlace place = PartCrashPlace::FirstEvent;
    PartLayout layout = PartLayout::MiddleOfFour;
    /** Whether the callers of crashing prompts leave before they can see the crash. */
    bool callersLeave = false;
    GatewayFault gatewayFault = GatewayFault::None;
    /** If it is not None, no part crashes upstreams. */
    UpstreamFault upstreamFault = UpstreamFault::None;
    /** Whether callers send lists of parts that no caller should send. */
    bool hasHostileCallers = false;

    /** Returns a name of the form silence-first-4middle-leave-pause or innocent-chance. */
    std::string name() const;
};

std::vector<PartScenario> allPartScenarios();

/**
 * Runs a scenario with real processes and checks that crashing parts reach upstreams in three late runs at most, and
 * that sound prompts and calls are answered.
 */
ProofResult runPartScenario(const PartScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
