#include "proofprogram.h"
#include "restorescenario.h"

namespace {

Proof::ProofResult run(Proof::RestoreFault fault, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::RestoreScenarioResult result = Proof::runRestoreScenario(fault, programs, seed);
    return { "next document in force after " + std::to_string(result.slowestApplyMs) + " ms, busiest second "
            + std::to_string(result.busiestReads) + " reads and " + std::to_string(result.busiestWrites) + " writes",
        result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const auto fault : Proof::allRestoreFaults())
        scenarios.push_back({ Proof::toString(fault),
            [fault](const auto& programs, std::uint64_t seed) { return run(fault, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks that nothing reverts or stays unread when the store comes back from an older copy\nusage: "
        "bluebell-prove-restore [flags]",
        scenarios);
}
