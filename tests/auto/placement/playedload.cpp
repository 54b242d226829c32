#include "playedload.h"

#include <placement/contentionpolicy.h>

#include <algorithm>
#include <cmath>

using namespace Placement;
using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration tick = 10ms;
constexpr Duration updateDelay = 30ms;
constexpr double phaseSeconds = 10;

Duration abandonedAfter(const PlayedKind& kind)
{
    return std::max<Duration>({ 2s, 4 * kind.firstEventTarget, 8 * kind.eventGapTarget });
}

} // namespace

struct LoadPlayer::Gateway {
    Gateway(const Foundation::Clock& clock, const EngineModel& model)
        : ledger(clock)
        , queue(model)
        , policy(model)
    {
    }

    LoadLedger ledger;
    PromptQueue queue;
    ContentionPolicy policy;
};

LoadPlayer::LoadPlayer(const PlayedLoad& load, const EngineModel& model, bool hasContentionPolicy)
    : load(load)
    , model(model)
    , fleet(this->model, load.engines)
    , hasContentionPolicy(hasContentionPolicy)
    , generator(load.seed)
{
    for (std::size_t i = 0; i < load.gateways; ++i)
        this->gateways.push_back(std::make_unique<Gateway>(this->clock, this->model));
    for (std::size_t i = 0; i < load.engines; ++i)
        this->engineNames.push_back(std::to_string(i));
    this->generateArrivals();
}

LoadPlayer::~LoadPlayer() = default;

void LoadPlayer::generateArrivals()
{
    std::uniform_real_distribution<double> uniform(0, 1);
    for (std::size_t kindIndex = 0; kindIndex < this->load.kinds.size(); ++kindIndex) {
        const PlayedKind& kind = this->load.kinds[kindIndex];
        const double highest = std::max(kind.firstPhaseFactor, kind.secondPhaseFactor);
        double seconds = 0;
        while (true) {
            seconds += std::exponential_distribution<double>(kind.ratePerSecond * highest)(this->generator);
            if (Foundation::fromSeconds(seconds) >= this->load.length)
                break;
            const bool isFirstPhase = std::fmod(seconds, 2 * phaseSeconds) < phaseSeconds;
            if (uniform(this->generator) * highest >= (isFirstPhase ? kind.firstPhaseFactor : kind.secondPhaseFactor))
                continue;
            const double logMean = std::log(kind.meanTokens) - kind.logSigma * kind.logSigma / 2;
            SimulatedPrompt prompt;
            prompt.promptTokens = static_cast<std::int64_t>(std::min(
                kind.maximumTokens, std::lognormal_distribution<double>(logMean, kind.logSigma)(this->generator)));
            prompt.events = kind.events;
            prompt.firstEventTarget = kind.firstEventTarget;
            prompt.eventGapTarget = kind.eventGapTarget;
            prompt.arrived = TimePoint {} + Foundation::fromSeconds(seconds);
            Caller caller;
            caller.kind = kindIndex;
            caller.arrived = prompt.arrived;
            caller.account = uniform(this->generator) < this->load.largestAccountShare
                ? 0
                : 1 + static_cast<int>(uniform(this->generator) * (this->load.accounts - 1));
            this->arrivals.emplace(prompt.arrived, this->prompts.size());
            this->prompts.push_back(prompt);
            this->callers.push_back(caller);
        }
    }
}

std::vector<PlayedResult> LoadPlayer::play()
{
    const TimePoint end = TimePoint {} + this->load.length + 20s;
    for (TimePoint now {}; now < end; now += tick) {
        this->clock.advance(tick);
        this->recordProgress(this->fleet.advanceTo(now));
        this->exchangeLoad(now);
        while (!this->arrivals.empty() && this->arrivals.begin()->first <= now) {
            const std::size_t index = this->arrivals.begin()->second;
            this->arrivals.erase(this->arrivals.begin());
            this->enqueue(index, now);
        }
        for (const auto& gateway : this->gateways) {
            if (this->hasContentionPolicy)
                gateway->policy.observe(now, [this, &gateway] { return this->candidates(*gateway); });
            this->schedule(*gateway, now);
        }
    }
    std::vector<PlayedResult> results(1 + this->load.kinds.size());
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
        this->count(results[0], i);
        this->count(results[1 + this->callers[i].kind], i);
    }
    return results;
}

void LoadPlayer::enqueue(std::size_t index, TimePoint now)
{
    Caller& caller = this->callers[index];
    const PlayedKind& kind = this->load.kinds[caller.kind];
    caller.attemptArrived = now;
    caller.gateway = this->generator() % this->gateways.size();
    ++caller.attempts;
    QueuedPrompt queued;
    queued.id = index;
    queued.demand.promptTokens = this->prompts[index].promptTokens;
    queued.demand.outputTokens = static_cast<std::int64_t>(kind.events) * this->model.profile().stepsPerCycle;
    queued.demand.eventGapTarget = kind.eventGapTarget;
    queued.demand.weight = promptWeight(queued.demand.promptTokens);
    queued.firstEventTarget = kind.firstEventTarget;
    queued.firstEventTargetAt = now + kind.firstEventTarget;
    queued.callerTimeoutAt = std::min(caller.arrived + kind.timeout, now + abandonedAfter(kind));
    queued.maximumWaitPastTarget = std::max<Duration>(0s, 2s - kind.firstEventTarget);
    queued.priority = kind.priority;
    this->gateways[caller.gateway]->queue.add(queued);
}

void LoadPlayer::exchangeLoad(TimePoint now)
{
    for (std::size_t sender = 0; sender < this->gateways.size(); ++sender) {
        std::vector<UpstreamUsage> changes = this->gateways[sender]->ledger.takeChanges();
        if (!changes.empty())
            this->updates.push_back({ now + updateDelay, sender, std::move(changes) });
    }
    for (; !this->updates.empty() && this->updates.front().due <= now; this->updates.pop_front()) {
        const LoadUpdate& update = this->updates.front();
        for (std::size_t i = 0; i < this->gateways.size(); ++i) {
            if (i != update.sender)
                this->gateways[i]->ledger.setPeerUsage(std::to_string(update.sender), update.usages, false);
        }
    }
}

void LoadPlayer::recordProgress(const EngineFleet::Progress& progress)
{
    for (const std::size_t index : progress.begun)
        this->gateways[this->callers[index].gateway]->ledger.recordPrefillDone(this->callers[index].request);
    for (const std::size_t index : progress.ended)
        this->gateways[this->callers[index].gateway]->ledger.removeRequest(this->callers[index].request);
}

std::vector<EngineCandidate> LoadPlayer::candidates(const Gateway& gateway)
{
    std::vector<EngineCandidate> engines;
    engines.reserve(this->load.engines);
    for (const std::string& name : this->engineNames) {
        EngineCandidate candidate;
        candidate.usage = &gateway.ledger.totalUsage(name);
        candidate.remainingPrefill = gateway.ledger.remainingPrefill(name);
        candidate.slots = this->load.slots;
        candidate.tieBreaker = std::uniform_real_distribution<double>(0, 1)(this->generator);
        engines.push_back(candidate);
    }
    return engines;
}

void LoadPlayer::schedule(Gateway& gateway, TimePoint now)
{
    if (gateway.queue.size() == 0)
        return;
    PromptQueueActions actions;
    actions.place = [&](const QueuedPrompt& prompt) {
        PromptDemand demand = prompt.demand;
        if (this->hasContentionPolicy)
            demand.enginesOpenToLongPrompts = gateway.policy.openEngineCount(demand);
        return placePrompt(this->model, this->candidates(gateway), demand);
    };
    actions.dispatch
        = [&](QueuedPromptId id, const PromptPlacement& placement) { this->start(gateway, id, placement, now); };
    actions.refuse
        = [&](QueuedPromptId id, Foundation::ResultCode, Duration retryAfter) { this->refuse(id, retryAfter, now); };
    if (this->hasContentionPolicy) {
        actions.expectedFirstEvent = [&](const QueuedPrompt& prompt, Duration queuedPrefill) {
            return gateway.policy.prospects(prompt.demand, this->candidates(gateway), this->gateways.size())
                .expectedFirstEvent(prompt.demand, queuedPrefill);
        };
    }
    gateway.queue.schedule(now, this->load.engines, actions);
}

void LoadPlayer::start(Gateway& gateway, std::size_t index, const PromptPlacement& placement, TimePoint now)
{
    SimulatedPrompt& prompt = this->prompts[index];
    const auto partUs = std::chrono::duration_cast<std::chrono::microseconds>(placement.partPrefillTime).count();
    DispatchedRequest request;
    request.upstream = this->engineNames[placement.runnerIndex];
    request.reservedTokens = placement.reservedTokens;
    request.eventGapTargetMs = Foundation::toMilliseconds(prompt.eventGapTarget);
    request.weight = static_cast<std::int64_t>(promptWeight(prompt.promptTokens) * 1e3);
    request.parts.push_back({ request.upstream, partUs, 0 });
    std::vector<std::size_t> helpers;
    for (const PrefillHelper& helper : placement.helpers) {
        request.parts.push_back({ this->engineNames[helper.index], partUs, helper.reservedTokens });
        helpers.push_back(helper.index);
    }
    this->callers[index].request = gateway.ledger.addRequest(std::move(request));
    this->fleet.start(index, prompt, placement.runnerIndex, helpers, now);
}

void LoadPlayer::refuse(std::size_t index, Duration retryAfter, TimePoint now)
{
    Caller& caller = this->callers[index];
    ++caller.refusals;
    caller.held += now - caller.attemptArrived;
    if (caller.attempts > 1)
        return;
    const Duration left = caller.arrived + this->load.kinds[caller.kind].timeout - now;
    const TimePoint back = now + std::min(retryAfter, left / 3);
    this->arrivals.emplace(back, index);
    this->retries.push_back(back);
}

void LoadPlayer::count(PlayedResult& result, std::size_t index) const
{
    const Caller& caller = this->callers[index];
    const PlayedKind& kind = this->load.kinds[caller.kind];
    const SimulatedPrompt& prompt = this->prompts[index];
    ++result.requests;
    result.possibleValue += kind.value;
    result.refusals += caller.refusals;
    result.heldBeforeRefusal += caller.held;
    const bool isAbandoned = prompt.firstEvent
        && *prompt.firstEvent > std::min(caller.arrived + kind.timeout, caller.attemptArrived + abandonedAfter(kind));
    if (!prompt.isComplete || isAbandoned)
        return;
    ++result.answered;
    result.inTime += prompt.meetsTargets() ? 1 : 0;
    result.value += prompt.meetsTargets() ? kind.value : kind.lateValue;
}

std::vector<PlayedResult> LoadPlayer::byAccount() const
{
    std::vector<PlayedResult> results(static_cast<std::size_t>(this->load.accounts));
    for (std::size_t i = 0; i < this->callers.size(); ++i)
        this->count(results[static_cast<std::size_t>(this->callers[i].account)], i);
    return results;
}

PlayedResult LoadPlayer::largestTenth(std::size_t kind) const
{
    std::vector<std::size_t> ofKind;
    for (std::size_t i = 0; i < this->callers.size(); ++i) {
        if (this->callers[i].kind == kind)
            ofKind.push_back(i);
    }
    std::ranges::sort(
        ofKind, std::ranges::greater {}, [this](std::size_t index) { return this->prompts[index].promptTokens; });
    PlayedResult result;
    for (std::size_t i = 0; i < ofKind.size() / 10; ++i)
        this->count(result, ofKind[i]);
    return result;
}

std::size_t LoadPlayer::mostRetriesWithin(Duration window) const
{
    std::vector<TimePoint> sorted = this->retries;
    std::ranges::sort(sorted);
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sorted.size(); ++last) {
        while (sorted[last] - sorted[first] > window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

PlayedLoad contendedLoad(std::size_t engines, unsigned seed)
{
    PlayedLoad load;
    load.kinds = { { 76.5, 5'000, 0.9, 24'000, 30, 250ms, 200ms, 10s, 0, 1.9, 0.19, 0.34, 2.4 },
        { 12.2, 45'000, 0.5, 110'000, 20, 1'500ms, 500ms, 10s, 1, 1.9, 0.48, 1, 1 },
        { 2.08, 300'000, 0.5, 700'000, 18, 8s, 800ms, 15s, 2, 11, 4.1, 2.8, 0.05 } };
    load.engines = engines;
    load.length = 40s;
    load.seed = seed;
    return load;
}

PlayedLoad unevenLoad(std::size_t engines, unsigned seed)
{
    PlayedLoad load;
    load.kinds = { { 85.2, 5'000, 0.9, 24'000, 30, 300ms, 250ms, 10s, 0, 1.3, 0.33, 0.34, 2.4 },
        { 5.4, 45'000, 0.5, 110'000, 20, 1'500ms, 600ms, 10s, 0, 3.5, 0.88, 1, 1 },
        { 1.78, 220'000, 0.5, 600'000, 18, 4s, 1s, 15s, 0, 29, 7.4, 2.8, 0.05 } };
    load.engines = engines;
    load.length = 40s;
    load.seed = seed;
    return load;
}

EngineModel contendedEngineModel()
{
    Policy::EngineProfile engine;
    engine.slots = 12;
    engine.memoryTokens = 382'500;
    engine.stepMs = 0.925;
    engine.stepMsPerRequest = 0.0009;
    engine.stepMsPerThousandContextTokens = 0.0015;
    engine.prefillTokensPerMs = 256;
    engine.prefillMsPerMillionTokenPairs = 0.1;
    engine.stepsPerCycle = 52;
    return EngineModel(engine);
}

EngineModel unevenEngineModel()
{
    Policy::EngineProfile engine = contendedEngineModel().profile();
    engine.memoryTokens = 315'000;
    engine.stepMs = 0.85;
    engine.prefillTokensPerMs = 177;
    engine.prefillMsPerMillionTokenPairs = 0.14;
    engine.stepsPerCycle = 57;
    return EngineModel(engine);
}
