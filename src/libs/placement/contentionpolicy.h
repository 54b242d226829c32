#pragma once

#include "demandmonitor.h"
#include "prospectestimator.h"

#include <foundation/clock.h>

#include <functional>
#include <optional>
#include <vector>

namespace Placement {

/**
 * Decides for one service which engines are open to long prompts and which prompts are refused early, while prompts
 * compete for insufficient capacity. Keeps what was observed between two runs of the scheduler.
 */
class ContentionPolicy {
public:
    using EngineLister = std::function<std::vector<EngineCandidate>()>;

    explicit ContentionPolicy(const EngineModel& model);

    const DemandMonitor& demandMonitor() const { return this->monitor; }

    /** Counts a prompt that has arrived at this process. */
    void recordArrival(const PromptDemand& demand, Foundation::TimePoint now);

    /** Records the load of the engines if the last record is old. */
    void observe(Foundation::TimePoint now, const EngineLister& listEngines);

    /** Returns how many engines are open to a prompt; none if all are. */
    std::optional<std::size_t> openEngineCount(const PromptDemand& demand) const;

    /** Estimates the prospects of a prompt. @param gatewayCount how many gateways hold prompts for the engines. */
    ProspectEstimator prospects(
        const PromptDemand& demand, const std::vector<EngineCandidate>& engines, std::size_t gatewayCount) const;

private:
    EngineModel model;
    DemandMonitor monitor;
    Foundation::TimePoint nextObservation {};
    std::size_t engineCount = 0;
    int slots = 1;
};

} // namespace Placement
