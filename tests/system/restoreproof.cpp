#include "parallelruns.h"
#include "restorescenario.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <iostream>
#include <mutex>

DEFINE_string(programs, "", "folder of the programs; the folder of this program if empty");
DEFINE_uint64(first_seed, 1, "seed of the first round of scenarios");
DEFINE_uint64(seeds, 1, "number of rounds");
DEFINE_uint32(jobs, 6, "number of scenarios that run at the same time");

int main(int argc, char** argv)
{
    const std::filesystem::path ownFolder = std::filesystem::absolute(argv[0]).parent_path();
    Application::parseCommandLine("checks that nothing reverts or stays unread when the store comes back from an older "
                                  "copy\nusage: bluebell-prove-restore [flags]",
        argc, argv);
    const std::filesystem::path programs = FLAGS_programs.empty() ? ownFolder : std::filesystem::path(FLAGS_programs);
    std::vector<std::pair<Proof::RestoreFault, std::uint64_t>> runs;
    for (std::uint64_t seed = FLAGS_first_seed; seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
        for (const auto fault : { Proof::RestoreFault::None, Proof::RestoreFault::Pause, Proof::RestoreFault::Kill,
                 Proof::RestoreFault::Twice })
            runs.emplace_back(fault, seed);
    }
    std::mutex mutex;
    int passed = 0;
    Proof::runInParallel(runs.size(), FLAGS_jobs, [&](std::size_t index) {
        const auto [fault, seed] = runs[index];
        Proof::RestoreScenarioResult result;
        try {
            result = Proof::runRestoreScenario(fault, programs, seed);
        } catch (const std::exception& exception) {
            result.violations.push_back(std::string("the run ended with an exception: ") + exception.what());
        }
        const std::lock_guard lock(mutex);
        passed += result.violations.empty() ? 1 : 0;
        std::cout << (result.violations.empty() ? "kept   " : "broken ") << Proof::toString(fault) << " seed " << seed
                  << ": next document in force after " << result.slowestApplyMs << " ms\n";
        for (const std::string& violation : result.violations)
            std::cout << "    " << violation << '\n';
        std::cout.flush();
    });
    const int failed = static_cast<int>(runs.size()) - passed;
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed > 0 ? 0 : 1;
}
