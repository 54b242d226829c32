#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <string>
#include <vector>

namespace Proof {

/** The outcome of a scenario as a program prints it. */
struct ProofResult {
    std::string summary;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

/** A scenario of a program that plays scenarios with real processes. */
struct ProofScenario {
    std::string name;
    /** @param programs the folder that contains the programs. */
    std::function<ProofResult(const std::filesystem::path& programs, std::uint64_t seed)> run;
};

/**
 * Runs the main function of such a program: plays the scenarios that the flags select and prints the outcome of each.
 * @param usage what the program checks, and its command line.
 * @return the exit code.
 */
int runProofProgram(int argc, char** argv, const std::string& usage, const std::vector<ProofScenario>& scenarios);

} // namespace Proof
