#include "leasescenario.h"
#include "proofprogram.h"

namespace {

Proof::ProofResult run(Proof::WorkEnding ending, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::LeaseScenarioResult result = Proof::runLeaseScenario(ending, programs, seed);
    return { std::to_string(result.leases) + " leases, held " + std::to_string(result.heldMs)
            + " ms after the work had ended, status " + std::to_string(result.status) + " after "
            + std::to_string(result.answeredMs) + " ms",
        result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const auto ending : Proof::allWorkEndings())
        scenarios.push_back({ Proof::toString(ending),
            [ending](const auto& programs, std::uint64_t seed) { return run(ending, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks that engines hold no memory for a prompt whose work is over\nusage: bluebell-prove-leases [flags]",
        scenarios);
}
