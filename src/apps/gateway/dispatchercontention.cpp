#include "dispatcher.h"

#include <foundation/logging.h>

namespace Gateway {

namespace {

using Foundation::Duration;

} // namespace

void Dispatcher::setContentionPolicy(Foundation::FeatureSwitch newSwitch, Foundation::MetricRegistry& registry)
{
    this->contentionSwitch = newSwitch;
    this->metrics = &registry;
    this->applyContentionPolicy();
}

void Dispatcher::applyContentionPolicy()
{
    for (const auto& [service, queue] : this->queues) {
        if (this->contentionSwitch == Foundation::FeatureSwitch::On)
            this->contentionPolicies.try_emplace(service, queue.model());
        else
            this->contentionPolicies.erase(service);
    }
}

bool Dispatcher::isContended(const std::string& service)
{
    if (this->contentionSwitch == Foundation::FeatureSwitch::Off || this->contentionPolicy(service))
        return false;
    const auto queue = this->queues.find(service);
    return queue != this->queues.end()
        && this->processCount > static_cast<std::size_t>(queue->second.model().profile().slots);
}

Placement::ContentionPolicy* Dispatcher::contentionPolicy(std::string_view service)
{
    const auto found = this->contentionPolicies.find(service);
    return found == this->contentionPolicies.end() ? nullptr : &found->second;
}

std::vector<Placement::EngineCandidate> Dispatcher::listEngines(const UpstreamCriteria& criteria)
{
    std::vector<Placement::EngineCandidate> engines;
    for (const Membership::Upstream* const upstream : this->usableUpstreams(criteria)) {
        Placement::EngineCandidate engine;
        engine.usage = &this->ledger.totalUsage(upstream->entry.id);
        engine.remainingPrefill = this->ledger.remainingPrefill(upstream->entry.id);
        engine.slots = upstream->entry.slots;
        engines.push_back(engine);
    }
    return engines;
}

Placement::PromptQueueActions Dispatcher::queueActions(const std::string& service)
{
    Placement::PromptQueueActions actions;
    actions.place = [this](const Placement::QueuedPrompt& prompt) -> std::optional<Placement::PromptPlacement> {
        const auto found = this->pendingPrompts.find(prompt.id);
        return found == this->pendingPrompts.end() ? std::nullopt : this->place(prompt, found->second);
    };
    actions.dispatch = [this](Placement::QueuedPromptId id, const Placement::PromptPlacement& placement) {
        this->dispatch(id, placement);
    };
    actions.refuse = [this](Placement::QueuedPromptId id, Foundation::ResultCode code, Duration retryAfter) {
        this->refuse(id, code, retryAfter);
    };
    actions.isContended = this->isContended(service);
    const Placement::ContentionPolicy* const contention = this->contentionPolicy(service);
    if (!contention)
        return actions;
    // The engines are listed once for all prompts that wait. What is dispatched meanwhile would only add to their load.
    actions.expectedFirstEvent = [this, contention, service, engines = std::vector<Placement::EngineCandidate> {}](
                                     const Placement::QueuedPrompt& prompt, Duration queuedPrefill) mutable {
        if (engines.empty())
            engines = this->listEngines({ service, {}, {} });
        return contention->prospects(prompt.demand, engines, this->processCount)
            .expectedFirstEvent(prompt.demand, queuedPrefill);
    };
    actions.onRefusedEarly = [this](const Placement::QueuedPrompt& prompt, Duration expectedFirstEvent) {
        this->recordEarlyRefusal(prompt, expectedFirstEvent);
    };
    return actions;
}

void Dispatcher::recordEarlyRefusal(const Placement::QueuedPrompt& prompt, Duration expectedFirstEvent)
{
    this->metrics->counter("bluebell_prompts_refused_total", "reason=\"no prospect\"").fetch_add(1);
    Foundation::logEvent(Foundation::Event::PromptRefusedEarly, "",
        "prompt_tokens=" + std::to_string(prompt.demand.promptTokens)
            + " expected_ms=" + std::to_string(Foundation::toMilliseconds(expectedFirstEvent)) + " target_left_ms="
            + std::to_string(Foundation::toMilliseconds(prompt.firstEventTargetAt - this->clock.now()))
            + " waiting=" + std::to_string(this->pendingPrompts.size()));
}

void Dispatcher::updateMetrics()
{
    for (const auto& [service, contention] : this->contentionPolicies) {
        const auto now = this->clock.now();
        const std::string label = "service=\"" + service + "\",kind=";
        const Placement::DemandMonitor& monitor = contention.demandMonitor();
        this->metrics->setGauge("bluebell_prefill_demand", label + "\"short\"", monitor.prefillDemand(true, now));
        this->metrics->setGauge("bluebell_prefill_demand", label + "\"long\"", monitor.prefillDemand(false, now));
    }
}

} // namespace Gateway
