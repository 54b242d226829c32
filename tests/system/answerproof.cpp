#include "answerscenario.h"
#include "proofprogram.h"

namespace {

constexpr std::int64_t bytesPerMegabyte = 1'000'000;

Proof::ProofResult run(const Proof::AnswerScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::AnswerScenarioResult result = Proof::runAnswerScenario(scenario, programs, seed);
    std::string summary = std::to_string(result.checkedCases) + " answers checked";
    if (scenario.isEndless)
        summary += ", up to " + std::to_string(result.peakResidentBytes / bytesPerMegabyte) + " MB, "
            + std::to_string(result.servedCalls) + " of " + std::to_string(result.otherCalls) + " others served";
    return { std::move(summary), result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const Proof::AnswerScenario& scenario : Proof::allAnswerScenarios())
        scenarios.push_back({ scenario.name,
            [scenario](const auto& programs, std::uint64_t seed) { return run(scenario, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks what callers see of answers that break off, fall silent or never end\nusage: bluebell-prove-answers "
        "[flags]",
        scenarios);
}
