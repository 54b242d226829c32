#include "testenginemodel.h"

#include <placement/engineheadroom.h>
#include <placement/occupancyprice.h>
#include <placement/promptqueue.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace Placement;
using Foundation::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t engineCount = 20;
constexpr int slots = 10;
constexpr double longBacklogMs = 500;

// Engines with short streams, and the prefill backlogs that long prompts have left.
struct Engines {
    std::vector<UpstreamUsage> usages { engineCount };
    std::vector<EngineCandidate> candidates { engineCount };
    std::vector<double> backlogsMs = std::vector<double>(engineCount, 0.0);

    Engines(std::int64_t shortStreamsEach, std::size_t occupied)
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            this->usages[i].requests = shortStreamsEach;
            this->usages[i].streamsByGapMs[250] = { shortStreamsEach, 1'600 * shortStreamsEach };
            this->candidates[i].usage = &this->usages[i];
            this->candidates[i].slots = slots;
            this->backlogsMs[i] = i < occupied ? longBacklogMs : 0;
        }
    }
};

PromptPlacement longPlacement(std::size_t first, std::size_t count)
{
    PromptPlacement placement;
    placement.runnerIndex = first;
    placement.partPrefillTime = 800ms;
    for (std::size_t i = 1; i < count; ++i)
        placement.helpers.push_back({ first + i, 0 });
    return placement;
}

} // namespace

TEST_GROUP(EngineHeadroomTest) {};

TEST(EngineHeadroomTest, longPromptsDoNotOccupyTheEnginesThatABurstOfShortOnesNeeds)
{
    // 60 streams need 10 of the 20 engines, and half as many more for a burst.
    const Engines engines(3, 4);
    const EngineHeadroom headroom(engines.candidates, engines.backlogsMs, 1s);
    CHECK_FALSE(headroom.allows(longPlacement(4, 8)));
}

TEST(EngineHeadroomTest, aLongPromptStillFindsEnginesBesideFullShortOnes)
{
    const Engines engines(slots, 0);
    const EngineHeadroom headroom(engines.candidates, engines.backlogsMs, 1s);
    CHECK(headroom.allows(longPlacement(0, engineCount / 4)));
}

TEST(EngineHeadroomTest, aLongPromptMayQueueBehindAnotherOnTheSameEngines)
{
    const Engines engines(3, 8);
    const EngineHeadroom headroom(engines.candidates, engines.backlogsMs, 1s);
    CHECK(headroom.allows(longPlacement(0, 8)));
}

TEST(EngineHeadroomTest, streamsAsPatientAsThePromptNeedNoHeadroom)
{
    const Engines engines(3, 4);
    const EngineHeadroom headroom(engines.candidates, engines.backlogsMs, 250ms);
    CHECK(headroom.allows(longPlacement(4, 12)));
}

TEST(EngineHeadroomTest, occupyingAnEngineCostsMoreWhenFewAreLeft)
{
    const Engines idle(0, 0);
    const Engines busy(slots, engineCount);
    const OccupancyPrice plentiful(idle.candidates, idle.backlogsMs);
    const OccupancyPrice scarce(busy.candidates, busy.backlogsMs);
    DOUBLES_EQUAL(OccupancyPrice().cost(0, 1'000), plentiful.cost(0, 1'000), 1e-9);
    CHECK(scarce.cost(0, 1'000) > 2 * plentiful.cost(0, 1'000));
    DOUBLES_EQUAL(1, scarce.scarcity(), 1e-9);
}

TEST(EngineHeadroomTest, aLongPromptIsNotHeldUntilItsPlacementMissesTheTarget)
{
    // The placement that it has takes 2 s; if all engines became idle it would take a fraction of that.
    PromptQueue queue(testEngineModel());
    QueuedPrompt prompt;
    prompt.id = 1;
    prompt.demand.promptTokens = 200'000;
    prompt.demand.eventGapTarget = 1s;
    prompt.demand.weight = promptWeight(prompt.demand.promptTokens);
    const TimePoint start { 1h };
    prompt.firstEventTargetAt = start + 2'200ms;
    prompt.callerTimeoutAt = start + 15s;
    prompt.firstEventTarget = 4s;
    queue.add(prompt);
    std::vector<QueuedPromptId> dispatched;
    PromptQueueActions actions;
    actions.isContended = true;
    actions.place = [](const QueuedPrompt&) {
        PromptPlacement placement;
        placement.timeToFirstEvent = 2s;
        placement.prefillAhead = 900ms;
        return std::optional(placement);
    };
    actions.dispatch = [&](QueuedPromptId id, const PromptPlacement&) { dispatched.push_back(id); };
    actions.refuse = [](QueuedPromptId, Foundation::ResultCode, Foundation::Duration) { FAIL("refused"); };
    queue.schedule(start, engineCount, actions);
    LONGS_EQUAL(1, dispatched.size());
}
