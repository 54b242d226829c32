#include "contentionpolicy.h"

namespace Placement {

namespace {

// The load changes with each request, but its trend only within tenths of a second. Observing it costs a look-up for
// each engine, and small gateways have little processor time.
constexpr Foundation::Duration observationInterval = std::chrono::milliseconds(50);

} // namespace

ContentionPolicy::ContentionPolicy(const EngineModel& model)
    : model(model)
{
}

void ContentionPolicy::recordArrival(const PromptDemand& demand, Foundation::TimePoint now)
{
    this->monitor.recordArrival(this->model.prefillTime(demand.promptTokens), isPackedPrompt(this->model, demand), now);
}

void ContentionPolicy::observe(Foundation::TimePoint now, const EngineLister& listEngines)
{
    if (now < this->nextObservation)
        return;
    this->nextObservation = now + observationInterval;
    const std::vector<EngineCandidate> engines = listEngines();
    this->engineCount = engines.size();
    if (!engines.empty())
        this->slots = engines.front().slots;
    this->monitor.recordLoad(engines, now);
}

std::optional<std::size_t> ContentionPolicy::openEngineCount(const PromptDemand& demand) const
{
    if (this->engineCount == 0 || isPackedPrompt(this->model, demand))
        return std::nullopt;
    return this->monitor.enginesOpenToLongPrompts(demand.eventGapTarget, this->engineCount, this->slots);
}

ProspectEstimator ContentionPolicy::prospects(
    const PromptDemand& demand, const std::vector<EngineCandidate>& engines, std::size_t gatewayCount) const
{
    return { this->model, engines, this->openEngineCount(demand).value_or(engines.size()), gatewayCount };
}

} // namespace Placement
