#include "limitscenario.h"
#include "proofprogram.h"

#include <cmath>

namespace {

Proof::ProofResult run(const Proof::LimitScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::LimitScenarioResult result = Proof::runLimitScenario(scenario, programs, seed);
    return { std::to_string(result.requests) + " requests; under limits " + std::to_string(result.answered)
            + " answered of " + std::to_string(std::lround(result.allowed)) + " allowed, "
            + std::to_string(result.refused) + " refused, the slowest after " + std::to_string(result.slowestRefusalMs)
            + " ms; at most " + std::to_string(std::lround(result.worstShare * 100))
            + " % of the arrivals that are tolerated",
        result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const Proof::LimitScenario& scenario : Proof::allLimitScenarios())
        scenarios.push_back({ scenario.name(),
            [scenario](const auto& programs, std::uint64_t seed) { return run(scenario, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks that gateways together keep the request limits of upstreams and use them\nusage: "
        "bluebell-prove-limits [flags]",
        scenarios);
}
