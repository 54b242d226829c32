#include "prospectestimator.h"

#include <algorithm>

namespace Placement {

namespace {

using Foundation::Duration;

// The fraction of their time that engines spend on prefill; they also decode meanwhile.
constexpr double prefillTimeFraction = 0.75;
// The part of the gateways whose queues are taken to be as long as that of this process. They do not report their
// queues, and a refusal that was not needed costs the caller its only retry, so the estimate stays low.
constexpr double assumedQueueFraction = 0.5;
// The engine protocol allows at most 16 prefill helpers.
constexpr std::size_t maximumParts = 17;

} // namespace

ProspectEstimator::ProspectEstimator(const EngineModel& model, std::span<const EngineCandidate> engines,
    std::size_t openEngineCount, std::size_t gatewayCount)
    : model(model)
    , gatewayCount(std::max<std::size_t>(1, gatewayCount))
{
    for (const EngineCandidate& engine : engines.last(std::min(openEngineCount, engines.size()))) {
        this->backlogs.push_back(engine.remainingPrefill);
        this->reservedTokens += engine.usage->reservedTokens;
        this->freeTokens += std::max<std::int64_t>(0, model.profile().memoryTokens - engine.usage->reservedTokens);
    }
    std::ranges::sort(this->backlogs);
}

Duration ProspectEstimator::expectedFirstEvent(const PromptDemand& demand, Duration queuedPrefill) const
{
    const double queues = std::max(1.0, assumedQueueFraction * static_cast<double>(this->gatewayCount));
    const double rate = prefillTimeFraction * static_cast<double>(std::max<std::size_t>(1, this->backlogs.size()));
    const Duration queueWait = Foundation::fromSeconds(queues * Foundation::toSeconds(queuedPrefill) / rate);
    return std::max(queueWait + this->bestPrefillEnd(demand), this->memoryWait(demand))
        + 2 * this->model.decodeCycleTime(1, demand.promptTokens);
}

Duration ProspectEstimator::bestPrefillEnd(const PromptDemand& demand) const
{
    Duration best = Duration::max();
    const std::size_t most = std::min(this->backlogs.size(), maximumParts);
    for (std::size_t parts = 1; parts <= most; ++parts)
        best = std::min(best, this->backlogs[parts - 1] + this->model.prefillTime(demand.promptTokens, parts));
    return best;
}

Duration ProspectEstimator::memoryWait(const PromptDemand& demand) const
{
    const std::int64_t missing = demand.promptTokens + demand.outputTokens - this->freeTokens;
    if (missing <= 0 || this->reservedTokens <= 0)
        return {};
    // Requests in flight are taken to end evenly over the time that an answer as long as that of the prompt takes.
    const double cycles = static_cast<double>(demand.outputTokens)
        / static_cast<double>(std::max(1, this->model.profile().stepsPerCycle));
    const double answerSeconds = cycles * Foundation::toSeconds(this->model.decodeCycleTime(1, demand.promptTokens));
    const double fraction = static_cast<double>(missing) / static_cast<double>(this->reservedTokens);
    return Foundation::fromSeconds(answerSeconds * std::min(1.0, fraction));
}

} // namespace Placement
