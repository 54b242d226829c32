#include "crashscenario.h"
#include "parallelruns.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <iostream>
#include <mutex>

DEFINE_string(scenario, "", "part of the name of the scenarios to run; all if empty");
DEFINE_uint64(first_seed, 1, "seed of the first round of scenarios");
DEFINE_uint64(seeds, 1, "number of rounds");
DEFINE_uint32(jobs, 6, "number of scenarios that run at the same time");

namespace {

struct Totals {
    std::mutex mutex;
    int passed = 0;
    int failed = 0;
};

void runOne(
    const Proof::CrashScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed, Totals& totals)
{
    Proof::CrashScenarioResult result;
    try {
        result = Proof::runCrashScenario(scenario, programs, seed);
    } catch (const std::exception& exception) {
        result.violations.push_back(std::string("the run ended with an exception: ") + exception.what());
    }
    const std::lock_guard lock(totals.mutex);
    std::cout << (result.violations.empty() ? "kept   " : "broken ") << scenario.name() << " seed " << seed << ": "
              << result.crashes << " crashes, " << result.lateRuns << " late runs, " << result.servedCalls << " of "
              << result.otherCalls << " others served, " << result.wrongRefusals << " wrongly refused\n";
    for (const std::string& violation : result.violations)
        std::cout << "    " << violation << '\n';
    if (!result.violations.empty() && std::getenv("BLUEBELL_KEEP_LOGS"))
        std::cout << "    logs: " << result.logFolder.string() << '\n';
    std::cout.flush();
    ++(result.violations.empty() ? totals.passed : totals.failed);
}

} // namespace

int main(int argc, char** argv)
{
    const std::filesystem::path programs = std::filesystem::absolute(argv[0]).parent_path();
    Application::parseCommandLine("checks that a request that crashes upstreams is not run again and again\nusage: "
                                  "bluebell-prove-crashes [flags]",
        argc, argv);
    std::vector<std::pair<Proof::CrashScenario, std::uint64_t>> runs;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
        for (const Proof::CrashScenario& scenario : Proof::allCrashScenarios()) {
            if (scenario.name().find(FLAGS_scenario) != std::string::npos)
                runs.emplace_back(scenario, seed);
        }
    }
    Totals totals;
    Proof::runInParallel(runs.size(), FLAGS_jobs,
        [&](std::size_t index) { runOne(runs[index].first, programs, runs[index].second, totals); });
    std::cout << totals.passed << " passed, " << totals.failed << " failed\n";
    return totals.failed == 0 && totals.passed > 0 ? 0 : 1;
}
