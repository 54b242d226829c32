#include "proofprogram.h"

#include "parallelruns.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <mutex>

DEFINE_string(programs, "", "folder of the programs; the folder of this program if empty");
DEFINE_string(scenario, "", "part of the name of the scenarios to run; all if empty");
DEFINE_uint64(first_seed, 1, "seed of the first round of scenarios");
DEFINE_uint64(seeds, 1, "number of rounds");
DEFINE_uint32(jobs, 6, "number of scenarios that run at the same time");

namespace Proof {

namespace {

ProofResult runCatching(const ProofScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed)
{
    try {
        return scenario.run(programs, seed);
    } catch (const std::exception& exception) {
        return { "", { std::string("the run ended with an exception: ") + exception.what() }, {} };
    }
}

void print(const ProofScenario& scenario, std::uint64_t seed, const ProofResult& result)
{
    std::cout << (result.violations.empty() ? "kept   " : "broken ") << scenario.name << " seed " << seed << ": "
              << result.summary << '\n';
    for (const std::string& violation : result.violations)
        std::cout << "    " << violation << '\n';
    if (!result.violations.empty() && std::getenv("BLUEBELL_KEEP_LOGS"))
        std::cout << "    logs: " << result.logFolder.string() << '\n';
    std::cout.flush();
}

} // namespace

int runProofProgram(int argc, char** argv, const std::string& usage, const std::vector<ProofScenario>& scenarios)
{
    const std::filesystem::path ownFolder = std::filesystem::absolute(argv[0]).parent_path();
    Application::parseCommandLine(usage, argc, argv);
    const std::filesystem::path programs = FLAGS_programs.empty() ? ownFolder : std::filesystem::path(FLAGS_programs);
    std::vector<std::pair<const ProofScenario*, std::uint64_t>> runs;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
        for (const ProofScenario& scenario : scenarios) {
            if (scenario.name.find(FLAGS_scenario) != std::string::npos)
                runs.emplace_back(&scenario, seed);
        }
    }
    std::mutex mutex;
    std::size_t passed = 0;
    runInParallel(runs.size(), FLAGS_jobs, [&](std::size_t index) {
        const auto [scenario, seed] = runs[index];
        const ProofResult result = runCatching(*scenario, programs, seed);
        const std::lock_guard lock(mutex);
        passed += result.violations.empty() ? 1 : 0;
        print(*scenario, seed, result);
    });
    std::cout << passed << " passed, " << runs.size() - passed << " failed\n";
    return passed == runs.size() && passed > 0 ? 0 : 1;
}

} // namespace Proof
