#include "experiments.h"
#include "fleet.h"

#include <load/loadgenerator.h>
#include <load/loadreport.h>

#include <iomanip>
#include <iostream>

namespace Fleet {

namespace {

constexpr double targetSlowdown = 1.2;
// 93 % of the mixed load are captions, so both loads have about the same rate of captions.
constexpr double captionRate = 78;
constexpr double mixedRate = 84;
constexpr const char* naivePolicies = R"("queue": "fifo", "choice": "roundRobin", "packLongPrompts": false)";

struct PhaseResult {
    std::vector<Load::ClassSummary> summaries;
};

Load::Workload makeWorkload(const ExperimentSettings& settings, const std::string& mix, double rate)
{
    Load::Workload workload;
    workload.classes = Load::namedMix(mix);
    workload.accounts = { { "studio", callerKey, 1 } };
    workload.model = "muse-llm";
    workload.service = "booking-app";
    workload.requestsPerSecond = rate;
    workload.seconds = settings.seconds;
    workload.seed = settings.seed;
    return workload;
}

std::vector<Load::ClassSummary> runPhase(RunningFleet& fleet, const Load::Workload& workload)
{
    return Load::summarize(workload, Load::LoadGenerator(workload, fleet.entryAddresses()).run());
}

bool publishPolicies(RunningFleet& fleet, const std::string& policies)
{
    FleetPlan plan = fleet.plan();
    plan.policies = policies;
    return fleet.publish(makeEnvironmentDocument(plan)) == 0;
}

// Sends short requests alone and then at the same rate among long ones. Returns the ratio of their first-byte times at
// p95.
double measureSlowdown(RunningFleet& fleet, const ExperimentSettings& settings, const std::string& name)
{
    const auto alone = runPhase(fleet, makeWorkload(settings, "captions", captionRate));
    const auto mixed = runPhase(fleet, makeWorkload(settings, "mixed", mixedRate));
    const double slowdown = mixed[0].firstByteP95Ms / alone[0].firstByteP95Ms;
    std::cout << "### " << name << "\n\nshort requests alone:\n\n"
              << Load::renderTable(alone) << "\nbeside long ones:\n\n"
              << Load::renderTable(mixed) << "\nslowdown of short requests at p95: " << std::fixed
              << std::setprecision(2) << slowdown << "\n\n";
    return slowdown;
}

// In the first phase both accounts send their share; in the second phase one of them sends ten times as much.
void measureFairness(RunningFleet& fleet, const ExperimentSettings& settings, const std::string& name)
{
    constexpr double accountRate = 40;
    constexpr double floodFactor = 10;
    Load::Workload balanced = makeWorkload(settings, "captions", 2 * accountRate);
    balanced.classes[0].timeoutMs = 4'000;
    balanced.accounts = { { "studio", callerKey, 1 }, { "agency", otherCallerKey, 1 } };
    Load::Workload flooded = balanced;
    flooded.requestsPerSecond = accountRate * (1 + floodFactor);
    flooded.accounts[0].share = floodFactor;
    for (const Load::Workload& workload : { balanced, flooded }) {
        const auto records = Load::LoadGenerator(workload, fleet.entryAddresses()).run();
        for (std::size_t account = 0; account < workload.accounts.size(); ++account) {
            std::vector<double> firstBytes;
            std::size_t sent = 0;
            for (const Load::CallRecord& record : records) {
                if (record.account != account)
                    continue;
                ++sent;
                if (record.isServed)
                    firstBytes.push_back(record.firstByteMs);
            }
            std::cout << "| " << name << " | " << workload.requestsPerSecond << " | " << workload.accounts[account].name
                      << " | " << sent << " | " << firstBytes.size() << " | " << std::fixed << std::setprecision(1)
                      << Load::percentile(firstBytes, 0.5) << " | " << Load::percentile(firstBytes, 0.95) << " |\n";
        }
    }
}

} // namespace

int runSlowdown(const ExperimentSettings& settings)
{
    RunningFleet fleet(settings.programs, studioPlan());
    if (!fleet.start() || !fleet.warmUp()) {
        std::cerr << "the fleet did not start\n" << fleet.logTails();
        return 1;
    }
    if (!publishPolicies(fleet, naivePolicies))
        return 1;
    const double naiveSlowdown = measureSlowdown(fleet, settings, "naive: first in first out, round robin");
    if (!publishPolicies(fleet, ""))
        return 1;
    const double defaultSlowdown
        = measureSlowdown(fleet, settings, "fair queue, predicted latency, packed long prompts");
    std::cout << "slowdown at p95: naive " << naiveSlowdown << ", own " << defaultSlowdown << "; target: at most "
              << targetSlowdown << '\n';
    return defaultSlowdown <= targetSlowdown ? 0 : 1;
}

int runFairness(const ExperimentSettings& settings)
{
    RunningFleet fleet(settings.programs, studioPlan());
    if (!fleet.start() || !fleet.warmUp()) {
        std::cerr << "the fleet did not start\n" << fleet.logTails();
        return 1;
    }
    std::cout << "| queue | requests a second | account | sent | served | first byte p50 ms | p95 ms |\n"
              << "| --- | --- | --- | --- | --- | --- | --- |\n";
    if (!publishPolicies(fleet, naivePolicies))
        return 1;
    measureFairness(fleet, settings, "naive");
    if (!publishPolicies(fleet, ""))
        return 1;
    measureFairness(fleet, settings, "fair");
    return 0;
}

} // namespace Fleet
