#pragma once

#include <filesystem>

namespace Fleet {

/** The settings of an experiment. */
struct ExperimentSettings {
    /** The folder that contains the programs. */
    std::filesystem::path programs;
    std::uint64_t seed = 1;
    /** The length of one phase. */
    double seconds = 10;
    /** The folder for plots; empty for none. */
    std::filesystem::path plots;
};

// Each experiment returns the exit code of the program: 0 if it ran and met its target.

/** Demonstrates a small environment under a mixed load. */
int runDemo(const ExperimentSettings& settings);

/** Measures the latency that entry and agent add to a direct call of the upstream. */
int runPathCost(const ExperimentSettings& settings);

/** Measures how many short requests per second one entry and its agents serve. */
int runThroughput(const ExperimentSettings& settings);

/** Compares the slowdown of short requests beside long ones between the default and the naive policies. */
int runSlowdown(const ExperimentSettings& settings);

/** Measures how accounts share a fleet when one sends ten times its share. */
int runFairness(const ExperimentSettings& settings);

/** Measures the service by second while a failure domain is taken out or killed and returns. */
int runDomain(const ExperimentSettings& settings);

/** Measures the cost of state, connections and messages, for docs/CAPACITY.md. */
int runSlopes(const ExperimentSettings& settings);

} // namespace Fleet
