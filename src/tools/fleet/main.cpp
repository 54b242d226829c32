#include "experiments.h"

#include <application/commandline.h>

#include <gflags/gflags.h>

#include <functional>
#include <iostream>
#include <map>

DEFINE_uint64(seed, 1, "seed of the load");
DEFINE_double(seconds, 10, "length of one phase in seconds");
DEFINE_string(plots, "", "folder for SVG plots; empty for no plots");

namespace {

constexpr const char* usage = R"(runs experiments with whole environments on this machine
usage: bluebell-fleet [flags] EXPERIMENT
  demo        shows a small environment under a mixed load
  path-cost   measures the latency that entry and agent add to a direct call of the upstream
  throughput  measures the short requests per second that one entry serves
  slowdown    measures the slowdown of short requests beside long ones, with the default and the naive policies
  fairness    measures how accounts share a fleet when one sends ten times its share
  domain      measures the service while a failure domain is taken out or killed and returns
  slopes      measures the cost of state, connections and messages, for docs/CAPACITY.md)";

} // namespace

int main(int argc, char** argv)
{
    const std::filesystem::path programs = std::filesystem::absolute(argv[0]).parent_path();
    Application::parseCommandLine(usage, argc, argv);
    const std::map<std::string, std::function<int(const Fleet::ExperimentSettings&)>> experiments = {
        { "demo", &Fleet::runDemo },
        { "path-cost", &Fleet::runPathCost },
        { "throughput", &Fleet::runThroughput },
        { "slowdown", &Fleet::runSlowdown },
        { "fairness", &Fleet::runFairness },
        { "domain", &Fleet::runDomain },
        { "slopes", &Fleet::runSlopes },
    };
    const auto experiment = argc == 2 ? experiments.find(argv[1]) : experiments.end();
    if (experiment == experiments.end()) {
        std::cerr << usage << '\n';
        return static_cast<int>(Application::ExitCode::Usage);
    }
    return experiment->second({ programs, FLAGS_seed, FLAGS_seconds, FLAGS_plots });
}
