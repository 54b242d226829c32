#include "enginefleet.h"

#include <algorithm>

using Foundation::TimePoint;

EngineFleet::EngineFleet(const Placement::EngineModel& model, std::size_t engineCount)
    : model(model)
    , engines(engineCount)
{
}

void EngineFleet::start(std::size_t prompt, PlayedPrompt& played, std::size_t runner,
    const std::vector<std::size_t>& helpers, TimePoint now)
{
    const auto part = this->model.readingTime(played.promptTokens, helpers.size() + 1);
    this->running[prompt] = { &played, runner, helpers.size() + 1 };
    const auto add = [&](std::size_t index) {
        Engine& engine = this->engines[index];
        engine.reading.push_back({ prompt, part });
        if (!engine.isBusy)
            this->beginPass(engine, now);
    };
    add(runner);
    for (const std::size_t helper : helpers)
        add(helper);
}

void EngineFleet::beginPass(Engine& engine, TimePoint now)
{
    engine.isBusy = !engine.reading.empty() || !engine.writing.empty();
    if (!engine.isBusy)
        return;
    Foundation::Duration time {};
    if (!engine.writing.empty())
        time += this->model.passTime(static_cast<std::int64_t>(engine.writing.size()), 0);
    // Beside streams a pass reads all that waits; otherwise one prompt after the other.
    const std::size_t count = engine.writing.empty() ? 1 : engine.reading.size();
    engine.partsInPass.clear();
    for (std::size_t i = 0; i < count; ++i) {
        time += engine.reading[i].time;
        engine.partsInPass.push_back(engine.reading[i].prompt);
    }
    engine.reading.erase(engine.reading.begin(), engine.reading.begin() + static_cast<std::ptrdiff_t>(count));
    engine.passEnd = now + time;
}

void EngineFleet::endPass(std::size_t index, Happenings& happenings)
{
    Engine& engine = this->engines[index];
    const TimePoint now = engine.passEnd;
    // A prompt writes from the pass on in which its last part was read.
    for (const std::size_t prompt : engine.partsInPass) {
        Running& run = this->running.at(prompt);
        if (--run.partsLeft > 0)
            continue;
        Engine& runner = this->engines[run.runner];
        runner.writing[prompt] = run.played->events;
        if (!runner.isBusy && &runner != &engine)
            this->beginPass(runner, now);
    }
    this->write(engine, now, happenings);
    this->beginPass(engine, now);
}

void EngineFleet::write(Engine& engine, TimePoint now, Happenings& happenings)
{
    for (auto next = engine.writing.begin(); next != engine.writing.end();) {
        const auto current = next++;
        PlayedPrompt& played = *this->running.at(current->first).played;
        if (played.firstEvent)
            played.longestPause = std::max(played.longestPause, now - played.lastEvent);
        else
            happenings.begun.push_back(current->first);
        played.firstEvent = played.firstEvent.value_or(now);
        played.lastEvent = now;
        if (--current->second > 0)
            continue;
        played.isWhole = true;
        happenings.ended.push_back(current->first);
        this->running.erase(current->first);
        engine.writing.erase(current);
    }
}

EngineFleet::Happenings EngineFleet::playUntil(TimePoint until)
{
    Happenings happenings;
    while (true) {
        std::optional<std::size_t> next;
        for (std::size_t i = 0; i < this->engines.size(); ++i) {
            const bool isEarlier = !next || this->engines[i].passEnd < this->engines[*next].passEnd;
            if (this->engines[i].isBusy && this->engines[i].passEnd <= until && isEarlier)
                next = i;
        }
        if (!next)
            return happenings;
        this->endPass(*next, happenings);
    }
}
