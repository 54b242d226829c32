#include "crowdsimulation.h"
#include "testenginemodel.h"

#include <placement/placementplanner.h>
#include <placement/staleloadchoice.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <vector>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t methodCount = 9;

std::vector<CrowdScenario> crowdScenarios()
{
    std::vector<CrowdScenario> scenarios;
    for (const std::size_t gateways : { 5U, 27U, 100U }) {
        for (const double ageMs : { 15.0, 100.0, 600.0 }) {
            // All engines, one failure domain away, nearly full engines beside free ones, and unequal gateways.
            scenarios.push_back({ .gateways = gateways, .updateAgeMs = ageMs });
            scenarios.push_back({ .gateways = gateways, .engines = 40, .updateAgeMs = ageMs, .crowdSize = 250 });
            scenarios.push_back({ .gateways = gateways,
                .updateAgeMs = ageMs,
                .loadedEngines = 40,
                .initialRequests = 11,
                .steadyPerSecond = 10,
                .crowdSize = 140 });
            scenarios.push_back({ .gateways = gateways, .updateAgeMs = ageMs, .hasUnequalGateways = true });
        }
        // All gateways have restarted and have no updates from each other.
        scenarios.push_back(
            { .gateways = gateways, .updateAgeMs = -1, .steadyPerSecond = 0, .crowdSize = 435, .runs = 8 });
    }
    return scenarios;
}

void printOutcome(const CrowdScenario& scenario, ChoiceMethod method, const CrowdOutcome& outcome)
{
    if (!std::getenv("BLUEBELL_PRINT_COMPARISON"))
        return;
    std::printf(
        "%3zu gateways %2zu engines %4.0f ms %s loaded=%zu %-13s overfilled %.4f most %3d wait %4.0f %4.0f ms\n",
        scenario.gateways, scenario.engines, scenario.updateAgeMs, scenario.hasUnequalGateways ? "unequal" : "equal  ",
        scenario.loadedEngines, methodName(method).data(), outcome.overfilledShare, outcome.mostRequests,
        outcome.medianWaitMs, outcome.highWaitMs);
}

} // namespace

TEST_GROUP(CrowdPlacementTest)
{
    EngineModel model = testEngineModel();
    PromptDemand caption { 5'000, 600, 250ms, 300ms, promptWeight(5'000) };

    std::vector<EngineCandidate> candidates(std::span<const UpstreamUsage> usages, double tieBreaker)
    {
        std::vector<EngineCandidate> engines;
        for (const UpstreamUsage& usage : usages) {
            EngineCandidate candidate;
            candidate.usage = &usage;
            candidate.slots = 12;
            candidate.tieBreaker = std::fmod(tieBreaker + 0.37 * static_cast<double>(engines.size()), 1.0);
            engines.push_back(candidate);
        }
        return engines;
    }
};

// Guards against a way to choose that overfills engines in one of the situations while others do not.
TEST(CrowdPlacementTest, theProductOverfillsEnginesLeastInItsWorstScenario)
{
    std::vector<double> worst(methodCount);
    for (const CrowdScenario& scenario : crowdScenarios()) {
        for (std::size_t i = 0; i < methodCount; ++i) {
            const auto method = static_cast<ChoiceMethod>(i);
            const CrowdOutcome outcome = simulateCrowd(scenario, method);
            printOutcome(scenario, method, outcome);
            worst[i] = std::max(worst[i], outcome.overfilledShare);
            if (method != ChoiceMethod::Product)
                continue;
            CHECK_TRUE(outcome.mostRequests <= 24);
            CHECK_TRUE(scenario.updateAgeMs > 100 || outcome.overfilledShare <= 0.01);
        }
    }
    CHECK_TRUE(std::ranges::min_element(worst) - worst.begin() == static_cast<std::ptrdiff_t>(ChoiceMethod::Product));
}

TEST(CrowdPlacementTest, enginesAreChosenWithTheSharesOfTheFilling)
{
    // Filled to level 4: two requests to the first, four to the second and none to the others.
    const std::vector<EngineLevel> levels { { 2, 9 }, { 0, 9 }, { 8, 9 }, { 0, 0 } };
    std::vector<int> chosen(levels.size());
    for (int i = 0; i < 600; ++i)
        ++chosen[chooseByStaleLoad(levels, 2, i / 600.0)->index];
    CHECK_TRUE(std::abs(chosen[0] - 200) <= 2);
    CHECK_TRUE(std::abs(chosen[1] - 400) <= 2);
}

TEST(CrowdPlacementTest, anEngineWithoutRoomIsNeverChosen)
{
    CHECK_TRUE(rc::check([] {
        std::vector<EngineLevel> levels;
        for (const int room : *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 4)))
            levels.push_back({ static_cast<double>(*rc::gen::inRange(0, 12)), static_cast<double>(room) });
        const auto choice = chooseByStaleLoad(levels, *rc::gen::inRange(0, 200), *rc::gen::inRange(0, 1'000) / 1e3);
        const bool hasRoom = std::ranges::any_of(levels, [](const EngineLevel& engine) { return engine.room > 0; });
        RC_ASSERT(choice.has_value() == hasRoom);
        RC_ASSERT(!choice || levels[choice->index].room > 0);
    }));
}

// All gateways return at once without load updates, and each places as many prompts as the large ones did in a second.
// Guards against some engines holding more requests than slots while others are free.
TEST(CrowdPlacementTest, gatewaysWithoutPeerLoadDoNotOverfillEngines)
{
    constexpr std::size_t gateways = 27;
    constexpr std::size_t promptsEach = 16;
    std::vector<int> requests(60);
    for (std::size_t gateway = 0; gateway < gateways; ++gateway) {
        std::vector<UpstreamUsage> usages(requests.size());
        double draw = std::fmod(static_cast<double>(gateway) * 0.7548776662466927, 1.0);
        for (std::size_t i = 0; i < promptsEach; ++i) {
            PromptDemand demand = this->caption;
            demand.isPeerLoadAvailable = false;
            demand.crowd.emplace();
            demand.crowd->arrivals.unreported = { 26.0 * static_cast<double>(i + 1), 0 };
            demand.crowd->draw = draw;
            draw = std::fmod(draw + 0.6180339887498949, 1.0);
            const auto placement = placePrompt(this->model, this->candidates(usages, draw), demand);
            CHECK_TRUE(placement.has_value());
            CHECK_TRUE(placement->isCrowdPlacement);
            ++requests[placement->runnerIndex];
            UpstreamUsage& usage = usages[placement->runnerIndex];
            ++usage.requests;
            usage.streamsByGapMs[250] = { usage.requests, usage.requests * 1'600 };
        }
    }
    CHECK_TRUE(*std::ranges::max_element(requests) <= 12);
}

// Most engines are away and the rest is nearly full. Guards against prompts that find no engine, or only a full one.
TEST(CrowdPlacementTest, nearlyFullEnginesAreFilledUpToTheirSlots)
{
    std::vector<UpstreamUsage> usages(10);
    for (std::size_t i = 0; i < usages.size(); ++i) {
        usages[i].requests = i == 7 ? 10 : 12;
        usages[i].streamsByGapMs[250] = { usages[i].requests, usages[i].requests * 1'600 };
    }
    PromptDemand demand = this->caption;
    demand.crowd.emplace();
    demand.crowd->arrivals.unreported = { 30, 1 };
    const auto placement = placePrompt(this->model, this->candidates(usages, 0), demand);
    CHECK_TRUE(placement.has_value());
    CHECK_TRUE(placement->runnerIndex == 7);
}

// Guards against the crowd rules changing the decisions of a calm fleet.
TEST(CrowdPlacementTest, aCalmFleetDecidesAsWithoutTheExpectation)
{
    CHECK_TRUE(rc::check([this] {
        std::vector<UpstreamUsage> usages(20);
        int streams = 0;
        for (UpstreamUsage& usage : usages) {
            const int count = *rc::gen::inRange(0, 9);
            streams += count;
            usage.requests = count;
            if (count > 0)
                usage.streamsByGapMs[250] = { count, count * 1'600 };
        }
        const double tieBreaker = *rc::gen::inRange(0, 1'000) / 1e3;
        const auto before = placePrompt(this->model, this->candidates(usages, tieBreaker), this->caption);
        PromptDemand demand = this->caption;
        demand.crowd.emplace();
        const double openEngines = std::ceil((streams + 1) / 7.2) + 1;
        demand.crowd->arrivals.unreported = { openEngines / 4, openEngines };
        const auto after = placePrompt(this->model, this->candidates(usages, tieBreaker), demand);
        RC_ASSERT(before.has_value() == after.has_value());
        RC_ASSERT(!before || before->runnerIndex == after->runnerIndex);
        RC_ASSERT(!before || before->timeToFirstEvent == after->timeToFirstEvent);
    }));
}

TEST(CrowdPlacementTest, unreportedRequestsCountInThePrediction)
{
    const std::vector<UpstreamUsage> usages(10);
    PromptDemand demand = this->caption;
    const auto calm = placePrompt(this->model, this->candidates(usages, 0), demand);
    demand.crowd.emplace();
    demand.crowd->arrivals.unreported = { 20, 0.6 };
    const auto crowded = placePrompt(this->model, this->candidates(usages, 0), demand);
    CHECK_TRUE(crowded->timeToFirstEvent >= calm->timeToFirstEvent + this->model.prefillTime(5'000));
}

// Guards against predictions that leave out the parts of other gateways' long prompts, and against holding prompts back
// for what is only estimated.
TEST(CrowdPlacementTest, unreportedPartsOfLongPromptsCountInThePredictionOnly)
{
    const std::vector<UpstreamUsage> usages(10);
    PromptDemand demand = this->caption;
    demand.crowd.emplace();
    const double shortPrefill = Foundation::toSeconds(this->model.prefillTime(5'000));
    demand.crowd->arrivals.unreported = { 20, 20 * shortPrefill };
    const auto without = placePrompt(this->model, this->candidates(usages, 0), demand);
    demand.crowd->arrivals.unreported.prefillSeconds += 0.8;
    const auto with = placePrompt(this->model, this->candidates(usages, 0), demand);
    DOUBLES_EQUAL(0, Foundation::toSeconds(without->estimatedDelay), 1e-6);
    DOUBLES_EQUAL(0.08, Foundation::toSeconds(with->estimatedDelay), 1e-6);
    CHECK_TRUE(with->timeToFirstEvent == without->timeToFirstEvent);
}

// Guards against sending prompts to an engine that has just been much later than predicted, while others have not.
TEST(CrowdPlacementTest, anEngineThatIsLateIsAvoided)
{
    const std::vector<UpstreamUsage> usages(10);
    auto engines = this->candidates(usages, 0);
    engines[0].delayCorrection = 2s;
    PromptDemand demand = this->caption;
    demand.crowd.emplace();
    // The prefill work that arrives opens all engines.
    demand.crowd->arrivals.perSecond = { 300, 9 };
    demand.crowd->arrivals.unreported = { 20, 0.6 };
    for (int i = 0; i < 50; ++i) {
        demand.crowd->draw = i / 50.0;
        CHECK_TRUE(placePrompt(this->model, engines, demand)->runnerIndex != 0);
    }
}
