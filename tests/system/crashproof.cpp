#include "crashscenario.h"
#include "proofprogram.h"

namespace {

Proof::ProofResult run(const Proof::CrashScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::CrashScenarioResult result = Proof::runCrashScenario(scenario, programs, seed);
    return { std::to_string(result.crashes) + " crashes, " + std::to_string(result.lateRuns) + " late runs, "
            + std::to_string(result.servedCalls) + " of " + std::to_string(result.otherCalls) + " others served, "
            + std::to_string(result.wrongRefusals) + " wrongly refused",
        result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const Proof::CrashScenario& scenario : Proof::allCrashScenarios())
        scenarios.push_back({ scenario.name(),
            [scenario](const auto& programs, std::uint64_t seed) { return run(scenario, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks that a request that crashes upstreams is not run again and again\nusage: bluebell-prove-crashes "
        "[flags]",
        scenarios);
}
