#include "playedload.h"

#include <placement/contentionpolicy.h>

#include <CppUTest/TestHarness.h>

using namespace Placement;
using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t longKind = 3;

PromptDemand longDemand()
{
    PromptDemand demand;
    demand.promptTokens = 300'000;
    demand.outputTokens = 900;
    demand.eventGapTarget = 800ms;
    return demand;
}

std::vector<EngineCandidate> enginesWithBacklog(const UpstreamUsage& usage, std::size_t count, Duration backlog)
{
    EngineCandidate engine;
    engine.usage = &usage;
    engine.slots = 12;
    engine.remainingPrefill = backlog;
    return std::vector<EngineCandidate>(count, engine);
}

} // namespace

TEST_GROUP(ContentionPolicyTest) { EngineModel model = contendedEngineModel(); };

// Guards against long prompts that are held until their target has passed and take engines from bursts of short ones.
TEST(ContentionPolicyTest, callersOfACompetingLoadGetMoreThanWithoutThePolicy)
{
    for (const std::size_t engines : { 40U, 30U }) {
        double without = 0;
        double with = 0;
        Duration holdWithout {};
        Duration holdWith {};
        for (const unsigned seed : { 1U, 2U, 3U }) {
            const PlayedLoad load = contendedLoad(engines, seed);
            const auto plain = LoadPlayer(load, this->model, false).play();
            const auto ruled = LoadPlayer(load, this->model, true).play();
            without += plain[0].worth() / 3;
            with += ruled[0].worth() / 3;
            holdWithout += plain[longKind].meanHold() / 3;
            holdWith += ruled[longKind].meanHold() / 3;
            for (std::size_t kind = 1; kind < ruled.size(); ++kind)
                CHECK_TRUE(ruled[kind].answeredShare() >= ruled[0].answeredShare() / 4);
        }
        CHECK_TRUE(with > without + 0.05);
        CHECK_TRUE(2 * holdWith < holdWithout);
    }
}

// Guards against refusals while engines have capacity.
TEST(ContentionPolicyTest, nothingIsRefusedOnAFleetThatHasCapacity)
{
    const auto results = LoadPlayer(contendedLoad(60, 1), this->model, true).play();
    LONGS_EQUAL(0, results[0].refusals);
}

TEST(ContentionPolicyTest, enginesAreClosedToLongPromptsWhenABurstOfShortOnesBegins)
{
    DemandMonitor monitor;
    UpstreamUsage usage;
    TimePoint now = TimePoint {} + 1s;
    monitor.recordLoad(enginesWithBacklog(usage, 40, 0s), now);
    UNSIGNED_LONGS_EQUAL(40, monitor.enginesOpenToLongPrompts(800ms, 40, 12));
    // Each engine has one stream more every 100 ms.
    for (int count = 1; count <= 5; ++count) {
        usage.streamsByGapMs[200] = { count, 1'000 };
        now += 100ms;
        monitor.recordLoad(enginesWithBacklog(usage, 40, 0s), now);
    }
    // More streams are expected than the 200 in flight, and some engines are left to long prompts nevertheless.
    CHECK_TRUE(monitor.expectedStreams(800ms) > 200);
    const std::size_t open = monitor.enginesOpenToLongPrompts(800ms, 40, 12);
    CHECK_TRUE(open >= 5 && open < 12);
    // Streams with the same event-gap target do not close engines.
    UNSIGNED_LONGS_EQUAL(40, monitor.enginesOpenToLongPrompts(200ms, 40, 12));
    // The burst ends, and long prompts get all engines back within seconds.
    usage.streamsByGapMs.clear();
    for (int i = 0; i < 80; ++i)
        monitor.recordLoad(enginesWithBacklog(usage, 40, 0s), now += 50ms);
    CHECK_TRUE(monitor.enginesOpenToLongPrompts(800ms, 40, 12) >= 38);
}

TEST(ContentionPolicyTest, aPromptHasNoProspectBehindALongQueueOrBacklogOnly)
{
    const UpstreamUsage usage;
    const auto idle = enginesWithBacklog(usage, 40, 0s);
    const auto busy = enginesWithBacklog(usage, 40, 5s);
    const PromptDemand demand = longDemand();
    const Duration fastest = minimumTimeToFirstEvent(this->model, demand.promptTokens, 40);
    const ProspectEstimator onIdle(this->model, idle, 40, 22);
    CHECK_TRUE(onIdle.expectedFirstEvent(demand, 0s) == fastest);
    CHECK_TRUE(onIdle.expectedFirstEvent(demand, 30s) > 10s);
    CHECK_TRUE(ProspectEstimator(this->model, busy, 40, 22).expectedFirstEvent(demand, 0s) == fastest + 5s);
    // One engine without a backlog is enough for a prospect.
    auto oneIdle = busy;
    oneIdle[39].remainingPrefill = 0s;
    CHECK_TRUE(ProspectEstimator(this->model, oneIdle, 40, 22).expectedFirstEvent(demand, 0s) <= fastest + 5s);
}

TEST(ContentionPolicyTest, aPromptThatFitsNowhereWaitsForMemory)
{
    UpstreamUsage full;
    full.reservedTokens = this->model.profile().memoryTokens;
    const auto engines = enginesWithBacklog(full, 2, 0s);
    const PromptDemand demand = longDemand();
    const UpstreamUsage empty;
    const auto idle = enginesWithBacklog(empty, 2, 0s);
    CHECK_TRUE(ProspectEstimator(this->model, engines, 2, 1).expectedFirstEvent(demand, 0s)
        >= ProspectEstimator(this->model, idle, 2, 1).expectedFirstEvent(demand, 0s));
}
