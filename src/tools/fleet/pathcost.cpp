#include "experiments.h"
#include "fleet.h"

#include <load/loadgenerator.h>
#include <load/loadreport.h>

#include <chrono>
#include <iomanip>
#include <iostream>

namespace Fleet {

namespace {

constexpr int requestsPerPath = 2'000;
constexpr double targetAddedMs = 0.5;
constexpr double targetRequestsPerSecond = 2'000;

// Returns a plan with engines that answer short prompts at once, so that the path dominates the measured times.
FleetPlan fastPlan(int engines)
{
    FleetPlan plan = studioPlan();
    plan.domains = { "hcmc-a" };
    plan.entries = 1;
    plan.upstreams = { plan.upstreams[0] };
    UpstreamGroup& group = plan.upstreams[0];
    group.count = engines;
    group.standinFlags = { "--prefill_tokens_per_second=20000000", "--decode_microseconds_per_token=1",
        "--memory_tokens=4000000", "--cold_limit=512", "--warm_limit=512" };
    group.definition = R"("memoryTokens": 4000000, "maximumConcurrent": 512, "prefillTokensPerSecond": 20000000,
          "decodeMicrosecondsPerToken": 1, "ramp": { "initialConcurrent": 512, "initialPrefillTokensPerSecond": 20000000 })";
    return plan;
}

std::string shortBody(int number)
{
    return R"({"model":"muse-llm","max_tokens":1,"prompt":"caption )" + std::to_string(number) + "\"}";
}

double measureCallMs(HttpClient& caller, const std::string& target, int number)
{
    const auto start = std::chrono::steady_clock::now();
    caller.send("POST", target, shortBody(number), { std::string("Authorization: Bearer ") + callerKey });
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

} // namespace

int runPathCost(const ExperimentSettings& settings)
{
    RunningFleet fleet(settings.programs, fastPlan(1));
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n" << fleet.logTails();
        return 1;
    }
    const std::string direct = fleet.upstreamUrl(fleet.instances()[0]) + "/v1/completions";
    const std::string through = "http://" + fleet.entryAddress(0) + "/v1/completions";
    std::vector<double> directMs;
    std::vector<double> throughMs;
    // The two paths alternate, so that a load peak of the machine affects both.
    for (int i = 0; i < requestsPerPath; ++i) {
        directMs.push_back(measureCallMs(fleet.http(), direct, 2 * i));
        throughMs.push_back(measureCallMs(fleet.http(), through, 2 * i + 1));
    }
    const double addedMs = Load::percentile(throughMs, 0.5) - Load::percentile(directMs, 0.5);
    std::cout << std::fixed << std::setprecision(3) << "| way | p50 ms | p99 ms |\n| --- | --- | --- |\n"
              << "| upstream asked directly | " << Load::percentile(directMs, 0.5) << " | "
              << Load::percentile(directMs, 0.99) << " |\n| through entry and agent | "
              << Load::percentile(throughMs, 0.5) << " | " << Load::percentile(throughMs, 0.99) << " |\n"
              << "added at p50: " << addedMs << " ms; target: at most " << targetAddedMs << " ms\n";
    return addedMs <= targetAddedMs ? 0 : 1;
}

int runThroughput(const ExperimentSettings& settings)
{
    constexpr int engines = 4;
    RunningFleet fleet(settings.programs, fastPlan(engines));
    if (!fleet.start()) {
        std::cerr << "the fleet did not start\n" << fleet.logTails();
        return 1;
    }
    const double entryBefore = fleet.process("entry-0").processorSeconds();
    Load::Workload workload;
    workload.classes = { { "short", Load::WorkKind::Prompt, 1, 50, 50, 1, 10'000 } };
    workload.accounts = { { "studio", callerKey, 1 } };
    workload.model = "muse-llm";
    workload.requestsPerSecond = targetRequestsPerSecond * 1.05;
    workload.seconds = settings.seconds;
    workload.seed = settings.seed;
    const auto records = Load::LoadGenerator(workload, fleet.entryAddresses()).run();
    const auto summaries = Load::summarize(workload, records);
    const double served = static_cast<double>(summaries[0].served) / settings.seconds;
    const double entryUse = (fleet.process("entry-0").processorSeconds() - entryBefore) / settings.seconds;
    std::cout << Load::renderTable(summaries) << std::fixed << std::setprecision(2) << "served a second: " << served
              << "; target: " << targetRequestsPerSecond << "\nprocessor use of the entry: " << entryUse << " cores\n";
    return served >= targetRequestsPerSecond ? 0 : 1;
}

} // namespace Fleet
