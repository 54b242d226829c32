#pragma once

#include "history.h"
#include "scenariofixture.h"

#include <functional>
#include <span>
#include <string>

namespace Proof {

/** The violations that one run of a scenario found, and the numbers of its calls by outcome. */
struct ScenarioResult {
    Violations violations;
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t mayHaveRun = 0;
    std::size_t notRun = 0;
};

/** A fleet under a load and certain faults, and the checks of the promise that it proves. */
struct Scenario {
    std::string name;
    /** The number of the promise in docs/PROOFS.md. */
    std::string promise;
    /** A short description of the faults and the load. */
    std::string faults;
    /** The Foundation::Mechanism without which the scenario must fail; empty for the scenario with mixed faults. */
    std::string mechanism;
    std::function<ScenarioResult(const ScenarioSettings&)> run;
};

/** Returns all scenarios, in the order of the promises; the one with mixed faults is last. */
std::span<const Scenario> scenarios();

} // namespace Proof
