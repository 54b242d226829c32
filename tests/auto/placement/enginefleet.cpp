#include "enginefleet.h"

#include <algorithm>

using Foundation::TimePoint;

namespace {

// The maximum number of prompt tokens that one step prefills.
constexpr std::int64_t chunkTokens = 2'048;

} // namespace

EngineFleet::EngineFleet(const Placement::EngineModel& model, std::size_t engineCount)
    : model(model)
    , engines(engineCount)
{
}

void EngineFleet::start(std::size_t prompt, SimulatedPrompt& simulated, std::size_t runner,
    const std::vector<std::size_t>& helpers, TimePoint now)
{
    const auto part = this->model.prefillTime(simulated.promptTokens, helpers.size() + 1);
    this->runningPrompts[prompt] = { &simulated, runner, helpers.size() + 1 };
    const auto tokens = simulated.promptTokens / static_cast<std::int64_t>(helpers.size() + 1);
    const auto add = [&](std::size_t index) {
        Engine& engine = this->engines[index];
        (index == runner ? engine.prefilling : engine.helping).push_back({ prompt, part, tokens });
        if (!engine.isBusy)
            this->beginCycle(engine, now);
    };
    add(runner);
    for (const std::size_t helper : helpers)
        add(helper);
}

void EngineFleet::beginCycle(Engine& engine, TimePoint now)
{
    engine.isBusy = !engine.helping.empty() || !engine.prefilling.empty() || !engine.decoding.empty();
    if (!engine.isBusy)
        return;
    Foundation::Duration time {};
    if (!engine.decoding.empty())
        time += this->model.decodeCycleTime(static_cast<std::int64_t>(engine.decoding.size()), 0);
    // A cycle has several steps if the engine is decoding, otherwise one.
    std::int64_t tokenBudget
        = engine.decoding.empty() ? chunkTokens : chunkTokens * this->model.profile().stepsPerCycle;
    engine.partsInCycle.clear();
    time += prefill(engine, engine.helping, tokenBudget);
    time += prefill(engine, engine.prefilling, tokenBudget);
    engine.cycleEnd = now + time;
}

Foundation::Duration EngineFleet::prefill(Engine& engine, std::vector<Part>& parts, std::int64_t& tokenBudget)
{
    Foundation::Duration time {};
    while (!parts.empty() && tokenBudget > 0) {
        Part& part = parts.front();
        if (part.tokens > tokenBudget) {
            const auto partialTime = part.time * tokenBudget / part.tokens;
            time += partialTime;
            part.time -= partialTime;
            part.tokens -= tokenBudget;
            tokenBudget = 0;
            return time;
        }
        time += part.time;
        tokenBudget -= part.tokens;
        engine.partsInCycle.push_back(part.prompt);
        parts.erase(parts.begin());
    }
    return time;
}

void EngineFleet::endCycle(std::size_t index, Progress& progress)
{
    Engine& engine = this->engines[index];
    const TimePoint now = engine.cycleEnd;
    // Decoding of a prompt starts with the cycle in which its last part was prefilled.
    for (const std::size_t prompt : engine.partsInCycle) {
        RunningPrompt& runningPrompt = this->runningPrompts.at(prompt);
        if (--runningPrompt.partsLeft > 0)
            continue;
        Engine& runner = this->engines[runningPrompt.runner];
        runner.decoding[prompt] = runningPrompt.simulated->events;
        if (!runner.isBusy && &runner != &engine)
            this->beginCycle(runner, now);
    }
    this->decode(engine, now, progress);
    this->beginCycle(engine, now);
}

void EngineFleet::decode(Engine& engine, TimePoint now, Progress& progress)
{
    for (auto next = engine.decoding.begin(); next != engine.decoding.end();) {
        const auto current = next++;
        SimulatedPrompt& simulated = *this->runningPrompts.at(current->first).simulated;
        if (simulated.firstEvent)
            simulated.longestGap = std::max(simulated.longestGap, now - simulated.lastEvent);
        else
            progress.begun.push_back(current->first);
        simulated.firstEvent = simulated.firstEvent.value_or(now);
        simulated.lastEvent = now;
        if (--current->second > 0)
            continue;
        simulated.isComplete = true;
        progress.ended.push_back(current->first);
        this->runningPrompts.erase(current->first);
        engine.decoding.erase(current);
    }
}

EngineFleet::Progress EngineFleet::advanceTo(TimePoint until)
{
    Progress progress;
    while (true) {
        std::optional<std::size_t> next;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const bool isEarlier = !next || this->engines[i].cycleEnd < this->engines[*next].cycleEnd;
            if (this->engines[i].isBusy && this->engines[i].cycleEnd <= until && isEarlier)
                next = i;
        }
        if (!next)
            return progress;
        this->endCycle(*next, progress);
    }
}
