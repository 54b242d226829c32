#include "proofprogram.h"
#include "silencescenario.h"

namespace {

Proof::ProofResult run(
    const Proof::SilenceScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::SilenceScenarioResult result = Proof::runSilenceScenario(scenario, programs, seed);
    return { std::to_string(result.completeAnswers) + " of " + std::to_string(result.requests) + " answered, "
            + std::to_string(result.refusals) + " refused, " + std::to_string(result.failedAnswers) + " failed, "
            + std::to_string(result.cutAnswers) + " cut, " + std::to_string(result.abandoned) + " abandoned, "
            + std::to_string(result.repeatedRuns) + " runs repeated, " + std::to_string(result.suspects) + " suspects, "
            + std::to_string(result.pauses) + " pauses, " + std::to_string(result.lateTimers) + " late timers",
        result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const Proof::SilenceScenario& scenario : Proof::allSilenceScenarios())
        scenarios.push_back({ scenario.name(),
            [scenario](const auto& programs, std::uint64_t seed) { return run(scenario, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks that sound upstreams that fall silent and go on cost no request its answer\nusage: "
        "bluebell-prove-silences [flags]",
        scenarios);
}
