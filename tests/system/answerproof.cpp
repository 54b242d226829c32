#include "answerscenario.h"
#include "parallelruns.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <mutex>

DEFINE_string(scenario, "", "part of the name of the scenarios to run; all if empty");
DEFINE_uint64(first_seed, 1, "seed of the first round of scenarios");
DEFINE_uint64(seeds, 1, "number of rounds");
DEFINE_uint32(jobs, 6, "number of scenarios that run at the same time");

namespace {

constexpr std::int64_t bytesPerMegabyte = 1'000'000;

struct Totals {
    std::mutex mutex;
    int passed = 0;
    int failed = 0;
};

void runOne(
    const Proof::AnswerScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed, Totals& totals)
{
    Proof::AnswerScenarioResult result;
    try {
        result = Proof::runAnswerScenario(scenario, programs, seed);
    } catch (const std::exception& exception) {
        result.violations.push_back(std::string("the run ended with an exception: ") + exception.what());
    }
    const std::lock_guard lock(totals.mutex);
    std::cout << (result.violations.empty() ? "kept   " : "broken ") << scenario.name << " seed " << seed << ": "
              << result.checkedCases << " answers checked";
    if (scenario.isEndless)
        std::cout << ", up to " << result.peakResidentBytes / bytesPerMegabyte << " MB, " << result.servedCalls
                  << " of " << result.otherCalls << " others served";
    std::cout << '\n';
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
    Application::parseCommandLine("checks what callers see of answers that break off, fall silent or never end\nusage: "
                                  "bluebell-prove-answers [flags]",
        argc, argv);
    std::vector<std::pair<Proof::AnswerScenario, std::uint64_t>> runs;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
        for (const Proof::AnswerScenario& scenario : Proof::allAnswerScenarios()) {
            if (scenario.name.find(FLAGS_scenario) != std::string::npos)
                runs.emplace_back(scenario, seed);
        }
    }
    Totals totals;
    Proof::runInParallel(runs.size(), FLAGS_jobs,
        [&](std::size_t index) { runOne(runs[index].first, programs, runs[index].second, totals); });
    std::cout << totals.passed << " passed, " << totals.failed << " failed\n";
    return totals.failed == 0 && totals.passed > 0 ? 0 : 1;
}
