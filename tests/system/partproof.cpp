#include "partscenario.h"

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const Proof::PartScenario& scenario : Proof::allPartScenarios())
        scenarios.push_back({ scenario.name(), [scenario](const auto& programs, std::uint64_t seed) {
                                 return Proof::runPartScenario(scenario, programs, seed);
                             } });
    return Proof::runProofProgram(argc, argv,
        "checks that a part of prompts that crashes upstreams is not run again and again, and that prompts without it "
        "are "
        "served\nusage: bluebell-prove-parts [flags]",
        scenarios);
}
