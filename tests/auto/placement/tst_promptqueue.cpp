#include "enginefleet.h"
#include "testenginemodel.h"

#include <placement/loadledger.h>
#include <placement/promptqueue.h>

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <deque>
#include <memory>
#include <random>

using namespace Placement;
using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t engineCount = 16;
// The size of the large deployment.
constexpr std::size_t largeEngineCount = 78;
constexpr std::size_t largeGatewayCount = 29;
// The highest factor by which a burst raises the arrival rate of a kind.
constexpr double maximumRateFactor = 2.7;

struct PromptKind {
    double ratePerSecond = 0;
    double meanTokens = 0;
    double logSigma = 0;
    double maximumTokens = 0;
    int events = 1;
    Duration firstEventTarget {};
    Duration eventGapTarget {};
};

// Generates the arrivals of all kinds, in order of time. Ten seconds with many short and hardly any long prompts
// alternate with ten seconds with few short and many long ones.
std::vector<SimulatedPrompt> generateArrivals(const std::vector<PromptKind>& kinds, Duration length, unsigned seed)
{
    std::mt19937 generator(seed);
    std::vector<SimulatedPrompt> prompts;
    for (const PromptKind& kind : kinds) {
        const bool isShortKind = kind.meanTokens < 10'000;
        double seconds = 0;
        while (true) {
            seconds += std::exponential_distribution<double>(kind.ratePerSecond * maximumRateFactor)(generator);
            if (Foundation::fromSeconds(seconds) >= length)
                break;
            const bool isLongBurst = std::fmod(seconds, 20) >= 10;
            const double rateFactor = isShortKind ? (isLongBurst ? 0.35 : 2.4) : (isLongBurst ? 2.7 : 0.05);
            if (std::uniform_real_distribution<double>(0, maximumRateFactor)(generator) >= rateFactor)
                continue;
            const double logMean = std::log(kind.meanTokens) - kind.logSigma * kind.logSigma / 2;
            SimulatedPrompt prompt;
            prompt.promptTokens = static_cast<std::int64_t>(
                std::min(kind.maximumTokens, std::lognormal_distribution<double>(logMean, kind.logSigma)(generator)));
            prompt.events = kind.events;
            prompt.firstEventTarget = kind.firstEventTarget;
            prompt.eventGapTarget = kind.eventGapTarget;
            prompt.arrived = TimePoint {} + Foundation::fromSeconds(seconds);
            prompts.push_back(prompt);
        }
    }
    std::ranges::sort(prompts, {}, &SimulatedPrompt::arrived);
    return prompts;
}

// The request mix of the users' first deployments: captions, decks and reviews.
std::vector<PromptKind> referenceMix()
{
    return { { 25, 4'960, 0.9, 23'800, 38, 300ms, 250ms }, { 1.4, 45'000, 0.5, 110'000, 23, 1'500ms, 600ms },
        { 0.65, 182'000, 0.55, 390'000, 19, 3s, 1s } };
}

// The request mix of a large deployment: longer reviews, and more requests of all kinds.
std::vector<PromptKind> largeDeploymentMix()
{
    return { { 124, 4'960, 0.9, 23'800, 36, 300ms, 250ms }, { 8.68, 45'000, 0.5, 110'000, 21, 1'500ms, 600ms },
        { 2.17, 260'000, 0.55, 390'000, 18, 4s, 1s } };
}

struct TargetCounts {
    int shortCount = 0;
    int shortWithinTarget = 0;
    int longCount = 0;
    int longWithinTarget = 0;

    double shortFraction() const { return static_cast<double>(this->shortWithinTarget) / this->shortCount; }
    double longFraction() const { return static_cast<double>(this->longWithinTarget) / this->longCount; }
};

TargetCounts countWithinTarget(const std::vector<SimulatedPrompt>& prompts)
{
    TargetCounts counts;
    for (const SimulatedPrompt& prompt : prompts) {
        const bool isLong = prompt.firstEventTarget >= 1s;
        (isLong ? counts.longCount : counts.shortCount) += 1;
        if (prompt.meetsTargets())
            (isLong ? counts.longWithinTarget : counts.shortWithinTarget) += 1;
    }
    return counts;
}

// Simulates the prompt queues and planners of gateways that exchange load updates.
class QueueSimulation {
public:
    // The time that a load update takes to the other gateways.
    static constexpr Duration updateDelay = 30ms;

    QueueSimulation(std::vector<SimulatedPrompt> prompts, std::size_t engines, int slots, std::size_t gatewayCount = 1)
        : prompts(std::move(prompts))
        , engines(engines)
        , slots(slots)
    {
        for (std::size_t i = 0; i < gatewayCount; ++i)
            this->gateways.push_back(std::make_unique<Gateway>(this->clock, this->model));
    }

    TargetCounts run()
    {
        std::size_t next = 0;
        const TimePoint end = this->prompts.back().arrived + 20s;
        for (TimePoint now {}; now < end; now += 5ms) {
            this->clock.advance(5ms);
            this->recordProgress(this->fleet.advanceTo(now));
            this->exchangeLoad(now);
            for (; next < this->prompts.size() && this->prompts[next].arrived <= now; ++next)
                this->enqueue(next);
            for (const auto& gateway : this->gateways)
                this->schedule(*gateway, now);
        }
        return countWithinTarget(this->prompts);
    }

    /** Returns the fraction of the short prompts that had their first event within the limit. */
    double fractionBegunWithin(Duration limit) const
    {
        int count = 0;
        int begunCount = 0;
        for (const SimulatedPrompt& prompt : this->prompts) {
            if (prompt.firstEventTarget >= 1s)
                continue;
            ++count;
            begunCount += prompt.firstEvent && *prompt.firstEvent - prompt.arrived <= limit ? 1 : 0;
        }
        return static_cast<double>(begunCount) / count;
    }

private:
    struct Gateway {
        Gateway(const Foundation::Clock& clock, const EngineModel& model)
            : ledger(clock)
            , queue(model)
        {
        }

        LoadLedger ledger;
        PromptQueue queue;
    };

    struct LoadUpdate {
        TimePoint due {};
        std::size_t sender = 0;
        std::vector<UpstreamUsage> usages;
    };

    Gateway& gatewayFor(std::size_t prompt) { return *this->gateways[prompt % this->gateways.size()]; }

    void exchangeLoad(TimePoint now)
    {
        for (std::size_t sender = 0; sender < this->gateways.size(); ++sender) {
            std::vector<UpstreamUsage> changes = this->gateways[sender]->ledger.takeChanges();
            if (!changes.empty() && this->gateways.size() > 1)
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

    void enqueue(std::size_t index)
    {
        const SimulatedPrompt& prompt = this->prompts[index];
        QueuedPrompt queued;
        queued.id = index;
        queued.demand = { prompt.promptTokens, prompt.events * 34, prompt.eventGapTarget, prompt.firstEventTarget,
            promptWeight(prompt.promptTokens) };
        queued.firstEventTarget = prompt.firstEventTarget;
        queued.firstEventTargetAt = prompt.arrived + prompt.firstEventTarget;
        queued.callerTimeoutAt = prompt.arrived + std::max<Duration>(2s, 4 * prompt.firstEventTarget);
        queued.maximumWaitPastTarget = std::max<Duration>(0s, 2s - prompt.firstEventTarget);
        this->gatewayFor(index).queue.add(queued);
    }

    void schedule(Gateway& gateway, TimePoint now)
    {
        if (gateway.queue.size() == 0)
            return;
        gateway.queue.schedule(now, this->engines,
            { [this, &gateway](const QueuedPrompt& prompt) { return this->place(gateway, prompt); },
                [this, &gateway, now](
                    QueuedPromptId id, const PromptPlacement& placement) { this->start(gateway, id, placement, now); },
                [](QueuedPromptId, Foundation::ResultCode, Duration) {} });
    }

    std::optional<PromptPlacement> place(const Gateway& gateway, const QueuedPrompt& prompt)
    {
        std::vector<EngineCandidate> candidates;
        for (std::size_t i = 0; i < this->engines; ++i) {
            EngineCandidate candidate;
            candidate.usage = &gateway.ledger.totalUsage(std::to_string(i));
            candidate.remainingPrefill = gateway.ledger.remainingPrefill(std::to_string(i));
            candidate.slots = this->slots;
            candidate.tieBreaker = std::uniform_real_distribution<double>(0, 1)(this->generator);
            candidates.push_back(candidate);
        }
        return placePrompt(this->model, candidates, prompt.demand);
    }

    void start(Gateway& gateway, QueuedPromptId id, const PromptPlacement& placement, TimePoint now)
    {
        SimulatedPrompt& prompt = this->prompts[id];
        const auto partUs = std::chrono::duration_cast<std::chrono::microseconds>(placement.partPrefillTime).count();
        DispatchedRequest request;
        request.upstream = std::to_string(placement.runnerIndex);
        request.reservedTokens = placement.reservedTokens;
        request.eventGapTargetMs = Foundation::toMilliseconds(prompt.eventGapTarget);
        request.weight = static_cast<std::int64_t>(promptWeight(prompt.promptTokens) * 1e3);
        request.parts.push_back({ request.upstream, partUs, 0 });
        std::vector<std::size_t> helpers;
        for (const PrefillHelper& helper : placement.helpers) {
            request.parts.push_back({ std::to_string(helper.index), partUs, helper.reservedTokens });
            helpers.push_back(helper.index);
        }
        this->requests[id] = gateway.ledger.addRequest(std::move(request));
        this->fleet.start(id, prompt, placement.runnerIndex, helpers, now);
    }

    void recordProgress(const EngineFleet::Progress& progress)
    {
        for (const std::size_t prompt : progress.begun)
            this->gatewayFor(prompt).ledger.recordPrefillDone(this->requests.at(prompt));
        for (const std::size_t prompt : progress.ended)
            this->gatewayFor(prompt).ledger.removeRequest(this->requests.at(prompt));
    }

    std::vector<SimulatedPrompt> prompts;
    std::size_t engines;
    int slots;
    Foundation::ManualClock clock;
    EngineModel model = testEngineModel();
    std::vector<std::unique_ptr<Gateway>> gateways;
    std::deque<LoadUpdate> updates;
    EngineFleet fleet { this->model, this->engines };
    std::map<std::size_t, DispatchedRequestId> requests;
    std::mt19937 generator { 1 };
};

// Simulates the baseline: each prompt goes at once to the engine with the fewest requests.
TargetCounts simulateLeastLoaded(std::vector<SimulatedPrompt> prompts, std::size_t engines)
{
    const EngineModel model = testEngineModel();
    EngineFleet fleet(model, engines);
    std::vector<int> loads(engines);
    std::map<std::size_t, std::size_t> engineByPrompt;
    std::size_t next = 0;
    const TimePoint end = prompts.back().arrived + 20s;
    for (TimePoint now {}; now < end; now += 5ms) {
        for (const std::size_t prompt : fleet.advanceTo(now).ended)
            --loads[engineByPrompt[prompt]];
        for (; next < prompts.size() && prompts[next].arrived <= now; ++next) {
            const auto engine = static_cast<std::size_t>(std::ranges::min_element(loads) - loads.begin());
            ++loads[engine];
            engineByPrompt[next] = engine;
            fleet.start(next, prompts[next], engine, {}, now);
        }
    }
    return countWithinTarget(prompts);
}

QueuedPrompt queuedPrompt(
    QueuedPromptId id, std::int64_t tokens, Duration firstEventTarget, Duration eventGapTarget, TimePoint arrived)
{
    QueuedPrompt prompt;
    prompt.id = id;
    prompt.demand = { tokens, 600, eventGapTarget, firstEventTarget, promptWeight(tokens) };
    prompt.firstEventTarget = firstEventTarget;
    prompt.firstEventTargetAt = arrived + firstEventTarget;
    prompt.callerTimeoutAt = arrived + 4 * firstEventTarget;
    prompt.maximumWaitPastTarget = 1s;
    return prompt;
}

} // namespace

TEST_GROUP(PromptQueueTest)
{
    PromptQueue queue { testEngineModel() };
    std::vector<QueuedPromptId> dispatched;
    std::vector<QueuedPromptId> refused;
    Duration retryAfter {};
    std::function<std::optional<PromptPlacement>(const QueuedPrompt&)> place;

    void schedule(TimePoint now, std::size_t engines = engineCount)
    {
        this->queue.schedule(now, engines,
            { this->place, [this](QueuedPromptId id, const PromptPlacement&) { this->dispatched.push_back(id); },
                [this](QueuedPromptId id, Foundation::ResultCode, Duration delay) {
                    this->refused.push_back(id);
                    this->retryAfter = delay;
                } });
    }
};

TEST(PromptQueueTest, shortPromptsPrecedeLongOnesWhichPrecedeOverdueOnes)
{
    this->place = [](const QueuedPrompt&) { return PromptPlacement {}; };
    const TimePoint now = TimePoint {} + 10s;
    this->queue.add(queuedPrompt(1, 182'000, 3s, 1s, now - 3s));
    this->queue.add(queuedPrompt(2, 182'000, 3s, 1s, now));
    this->queue.add(queuedPrompt(3, 5'000, 300ms, 250ms, now));
    this->schedule(now);
    CHECK_TRUE(this->dispatched == std::vector<QueuedPromptId>({ 3, 2, 1 }));
}

TEST(PromptQueueTest, aPromptThatWouldDelayStreamsWaitsWhileItCanMeetItsTarget)
{
    this->place = [](const QueuedPrompt&) {
        PromptPlacement placement;
        placement.timeToFirstEvent = 1s;
        placement.streamDelayCost = 5;
        return placement;
    };
    const TimePoint now = TimePoint {} + 10s;
    this->queue.add(queuedPrompt(1, 182'000, 3s, 1s, now));
    this->schedule(now);
    CHECK_TRUE(this->dispatched.empty());
    // Its weight exceeds the delay cost, so it is dispatched before its target passes.
    this->schedule(now + 2'700ms);
    UNSIGNED_LONGS_EQUAL(1, this->dispatched.size());
}

TEST(PromptQueueTest, aPromptWithAnExcessiveDelayCostIsRefusedBeforeItsCallerTimesOut)
{
    this->place = [](const QueuedPrompt&) {
        PromptPlacement placement;
        placement.timeToFirstEvent = 4s;
        placement.streamDelayCost = 1'000;
        return placement;
    };
    const TimePoint now = TimePoint {} + 10s;
    this->queue.add(queuedPrompt(1, 182'000, 3s, 1s, now));
    this->schedule(now + 2s);
    CHECK_TRUE(this->refused.empty());
    this->schedule(now + 5s);
    UNSIGNED_LONGS_EQUAL(1, this->refused.size());
    UNSIGNED_LONGS_EQUAL(0, this->queue.size());
    CHECK_TRUE(this->retryAfter >= 3s);
}

TEST(PromptQueueTest, aPromptWhoseFirstEventWouldComeAfterItsCallerLeavesIsRefusedInsteadOfSent)
{
    const TimePoint now = TimePoint {} + 10s;
    QueuedPrompt prompt = queuedPrompt(1, 1'000, 200ms, 250ms, now);
    prompt.callerTimeoutAt = now + 2s;
    prompt.maximumWaitPastTarget = 1'800ms;
    this->queue.add(prompt);
    this->place = [](const QueuedPrompt&) { return std::nullopt; };
    this->schedule(now + 1'800ms);
    CHECK_TRUE(this->refused.empty());
    this->place = [](const QueuedPrompt&) {
        PromptPlacement placement;
        placement.timeToFirstEvent = 130ms;
        return placement;
    };
    this->schedule(now + 1'906ms);
    CHECK_TRUE(this->dispatched.empty());
    CHECK_TRUE(this->refused == std::vector<QueuedPromptId>({ 1 }));
}

TEST(PromptQueueTest, aStreamThatHasBegunIsNotRefusedBehindLongPromptsThatWait)
{
    const TimePoint now = TimePoint {} + 10s;
    for (QueuedPromptId id = 1; id <= 40; ++id)
        this->queue.add(queuedPrompt(id, 182'000, 3s, 1s, now));
    QueuedPrompt begun = queuedPrompt(41, 5'000, 250ms, 250ms, now - 1'300ms);
    begun.callerTimeoutAt = now + 800ms;
    begun.maximumWaitPastTarget = begun.callerTimeoutAt - begun.firstEventTargetAt;
    begun.hasBegun = true;
    this->queue.add(begun);
    this->place = [](const QueuedPrompt&) { return std::nullopt; };
    this->schedule(now);
    CHECK_TRUE(std::ranges::find(this->refused, 41U) == this->refused.end());
    // Its cost for other streams does not matter.
    this->place = [](const QueuedPrompt& prompt) -> std::optional<PromptPlacement> {
        if (prompt.id != 41)
            return std::nullopt;
        PromptPlacement placement;
        placement.streamDelayCost = 1e9;
        return placement;
    };
    this->schedule(now + 500ms);
    CHECK_TRUE(this->dispatched == std::vector<QueuedPromptId>({ 41 }));
}

TEST(PromptQueueTest, aPromptIsRefusedAtOnceWithoutEngines)
{
    this->place = [](const QueuedPrompt&) { return std::nullopt; };
    this->queue.add(queuedPrompt(1, 5'000, 300ms, 250ms, TimePoint {}));
    this->schedule(TimePoint {}, 0);
    UNSIGNED_LONGS_EQUAL(1, this->refused.size());
}

TEST(PromptQueueTest, aRemovedPromptIsNotDispatched)
{
    this->place = [](const QueuedPrompt&) { return PromptPlacement {}; };
    this->queue.add(queuedPrompt(1, 5'000, 300ms, 250ms, TimePoint {}));
    this->queue.remove(1);
    this->schedule(TimePoint {});
    CHECK_TRUE(this->dispatched.empty());
}

// Requirement: at least 95 of 100 short prompts meet their targets. Bursts of long prompts use two thirds of all
// engines.
TEST(PromptQueueTest, shortPromptsMeetTheirTargetsDuringBurstsOfLongOnes)
{
    for (const unsigned seed : { 1U, 2U, 3U }) {
        const auto prompts = generateArrivals(referenceMix(), 40s, seed);
        QueueSimulation simulation(prompts, engineCount, 16);
        const TargetCounts counts = simulation.run();
        const TargetCounts leastLoaded = simulateLeastLoaded(prompts, engineCount);
        CHECK_TRUE(counts.shortFraction() >= 0.95);
        CHECK_TRUE(counts.shortFraction() > leastLoaded.shortFraction());
        CHECK_TRUE(counts.longFraction() > leastLoaded.longFraction());
    }
}

// The same in a large deployment, where bursts of reviews use all engines and each of many gateways decides by slightly
// outdated load updates. Requirement: the first token within 0.33 s for at least 95 of 100 short prompts.
TEST(PromptQueueTest, shortPromptsOfALargeDeploymentBeginWithinTheLimitDuringBurstsOfLongOnes)
{
    const unsigned seed = 1;
    const auto prompts = generateArrivals(largeDeploymentMix(), 30s, seed);
    QueueSimulation simulation(prompts, largeEngineCount, 12, largeGatewayCount);
    const TargetCounts counts = simulation.run();
    const TargetCounts leastLoaded = simulateLeastLoaded(prompts, largeEngineCount);
    CHECK_TRUE(simulation.fractionBegunWithin(330ms) >= 0.95);
    CHECK_TRUE(counts.shortFraction() > leastLoaded.shortFraction());
    CHECK_TRUE(counts.longFraction() > leastLoaded.longFraction());
}
