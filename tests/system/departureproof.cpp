#include "departurescenario.h"
#include "proofprogram.h"

namespace {

Proof::ProofResult run(Proof::Departure departure, const std::filesystem::path& programs, std::uint64_t seed)
{
    const Proof::DepartureScenarioResult result = Proof::runDepartureScenario(departure, programs, seed);
    return { std::to_string(result.servedCalls) + " of " + std::to_string(result.calls)
            + " calls served, last run at a departed upstream after " + std::to_string(result.latestRunMs) + " ms",
        result.violations, result.logFolder };
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<Proof::ProofScenario> scenarios;
    for (const auto departure : Proof::allDepartures())
        scenarios.push_back({ Proof::toString(departure),
            [departure](const auto& programs, std::uint64_t seed) { return run(departure, programs, seed); } });
    return Proof::runProofProgram(argc, argv,
        "checks that no request reaches an upstream that departed while the store turned some gateways away\nusage: "
        "bluebell-prove-departures [flags]",
        scenarios);
}
