#include "testenginemodel.h"

#include <placement/placementplanner.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

PromptDemand promptDemand(
    std::int64_t tokens, Foundation::Duration eventGapTarget, Foundation::Duration firstEventTarget)
{
    return { tokens, 600, eventGapTarget, firstEventTarget, promptWeight(tokens) };
}

UpstreamUsage streamUsage(std::int64_t eventGapTargetMs, std::int64_t count, std::int64_t tokensEach)
{
    UpstreamUsage usage;
    usage.requests = count;
    usage.reservedTokens = count * tokensEach;
    usage.streamsByGapMs[eventGapTargetMs]
        = { count, count * static_cast<std::int64_t>(promptWeight(tokensEach) * 1e3) };
    return usage;
}

std::vector<EngineCandidate> engineCandidates(std::span<const UpstreamUsage> usages)
{
    std::vector<EngineCandidate> candidates;
    for (const UpstreamUsage& usage : usages) {
        EngineCandidate candidate;
        candidate.usage = &usage;
        candidate.slots = 16;
        candidates.push_back(candidate);
    }
    return candidates;
}

} // namespace

TEST_GROUP(PlacementPlannerTest)
{
    EngineModel model = testEngineModel();
    PromptDemand caption = promptDemand(5'000, 250ms, 300ms);
    PromptDemand review = promptDemand(182'000, 1s, 3s);
};

TEST(PlacementPlannerTest, prefillTimeMatchesTheFiguresOfTheUsers)
{
    CHECK_TRUE(this->model.prefillTime(45'000) > 450ms && this->model.prefillTime(45'000) < 460ms);
    CHECK_TRUE(this->model.prefillTime(182'000, 16) > 240ms && this->model.prefillTime(182'000, 16) < 244ms);
}

TEST(PlacementPlannerTest, aLongPromptIsPrefilledByEnginesWithoutShortStreams)
{
    std::vector<UpstreamUsage> usages(16);
    for (std::size_t i = 0; i < 4; ++i)
        usages[i] = streamUsage(250, 12, 5'000);
    const auto placement = placePrompt(this->model, engineCandidates(usages), this->review);
    CHECK_TRUE(placement.has_value());
    CHECK_TRUE(placement->streamDelayCost == 0);
    CHECK_TRUE(placement->runnerIndex >= 4);
    for (const PrefillHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index >= 4);
    CHECK_TRUE(placement->helpers.size() >= 8);
    CHECK_TRUE(placement->timeToFirstEvent < 1s);
}

TEST(PlacementPlannerTest, shortPromptsUseNoMoreEnginesThanTheirStreamsNeed)
{
    CHECK_TRUE(rc::check([this] {
        const auto streamCounts = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 12));
        std::vector<UpstreamUsage> usages(16);
        int streams = 1;
        for (std::size_t i = 0; i < streamCounts.size(); ++i) {
            if (streamCounts[i] > 0)
                usages[i] = streamUsage(250, streamCounts[i], 5'000);
            streams += streamCounts[i];
        }
        auto candidates = engineCandidates(usages);
        for (EngineCandidate& candidate : candidates)
            candidate.tieBreaker = *rc::gen::inRange(0, 1000) / 1e3;
        const auto placement = placePrompt(this->model, candidates, this->caption);
        // Short prompts fill twelve of the sixteen slots of each engine, and one more engine is open for bursts.
        const std::size_t needed = static_cast<std::size_t>(streams / (0.8 * 12)) + 2;
        RC_ASSERT(placement->runnerIndex < needed);
    }));
}

TEST(PlacementPlannerTest, processesThatDecideAtTheSameMomentSpreadOverEngines)
{
    std::vector<UpstreamUsage> usages(16);
    for (std::size_t i = 0; i < 6; ++i)
        usages[i] = streamUsage(250, 8, 5'000);
    std::set<std::size_t> chosen;
    for (int process = 0; process < 30; ++process) {
        auto candidates = engineCandidates(usages);
        for (std::size_t i = 0; i < candidates.size(); ++i)
            candidates[i].tieBreaker = (process * 7 + static_cast<int>(i) * 13) % 31 / 31.0;
        chosen.insert(placePrompt(this->model, candidates, this->caption)->runnerIndex);
    }
    CHECK_TRUE(chosen.size() >= 4);
}

TEST(PlacementPlannerTest, shortPromptsLeaveTheLastEnginesToLongOnes)
{
    std::vector<UpstreamUsage> usages(16, streamUsage(250, 11, 5'000));
    usages[14] = {};
    usages[15] = {};
    const auto placement = placePrompt(this->model, engineCandidates(usages), this->caption);
    CHECK_TRUE(placement->runnerIndex < 14);
}

TEST(PlacementPlannerTest, aPromptLargerThanAnEngineReservesMemoryOnSeveral)
{
    const std::vector<UpstreamUsage> usages(16);
    const auto placement = placePrompt(this->model, engineCandidates(usages), promptDemand(700'000, 1s, 3s));
    CHECK_TRUE(placement.has_value());
    std::int64_t reservedTokens = placement->reservedTokens;
    for (const PrefillHelper& helper : placement->helpers)
        reservedTokens += helper.reservedTokens;
    CHECK_TRUE(reservedTokens >= 700'600);
}

TEST(PlacementPlannerTest, noPlacementExceedsTheMemoryOrSlotsOfAnEngine)
{
    CHECK_TRUE(rc::check([this] {
        const auto streamCounts = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 17));
        const auto tokensEach = *rc::gen::element<std::int64_t>(5'000, 45'000, 150'000);
        std::vector<UpstreamUsage> usages;
        for (const int count : streamCounts) {
            const auto fittingCount = std::min<std::int64_t>(count, 400'000 / tokensEach);
            usages.push_back(streamUsage(1'000, fittingCount, tokensEach));
        }
        const auto tokens = *rc::gen::inRange<std::int64_t>(1'000, 900'000);
        const auto placement = placePrompt(this->model, engineCandidates(usages), promptDemand(tokens, 1s, 3s));
        if (!placement)
            return;
        const auto fits = [&](std::size_t index, std::int64_t additionalTokens) {
            return usages[index].reservedTokens + additionalTokens <= this->model.profile().memoryTokens;
        };
        RC_ASSERT(usages[placement->runnerIndex].requests < 16);
        RC_ASSERT(fits(placement->runnerIndex, placement->reservedTokens));
        std::set<std::size_t> engines { placement->runnerIndex };
        for (const PrefillHelper& helper : placement->helpers) {
            RC_ASSERT(engines.insert(helper.index).second);
            RC_ASSERT(fits(helper.index, helper.reservedTokens));
        }
        RC_ASSERT(placement->helpers.size() <= 16);
    }));
}

TEST(PlacementPlannerTest, anEngineThatCannotRunOrHelpIsNotUsed)
{
    const std::vector<UpstreamUsage> usages(8);
    auto candidates = engineCandidates(usages);
    candidates[7].canHelp = false;
    candidates[7].canRun = false;
    const auto placement = placePrompt(this->model, candidates, this->review);
    CHECK_TRUE(placement->runnerIndex != 7);
    for (const PrefillHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index != 7);
}

TEST(PlacementPlannerTest, enginesThatPrefillTheirOwnPromptsAreNotUsedAsHelpers)
{
    std::vector<UpstreamUsage> usages(20);
    for (std::size_t i = 17; i < 20; ++i) {
        usages[i].ownPrefillUs = 150'000;
        usages[i].prefillUs = 150'000;
    }
    // The estimated remaining prefill of these engines is 0, so by time alone they would rank like the others.
    const auto placement = placePrompt(this->model, engineCandidates(usages), this->review);
    CHECK_TRUE(placement.has_value());
    for (const PrefillHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index < 17);
}

TEST(PlacementPlannerTest, enginesWithoutStreamsArePreferredAsHelpers)
{
    std::vector<UpstreamUsage> usages(26);
    // Streams that tolerate the prefill of this part, but not that of another gateway in addition.
    for (std::size_t i = 20; i < 26; ++i)
        usages[i] = streamUsage(1'000, 4, 60'000);
    const auto placement = placePrompt(this->model, engineCandidates(usages), this->review);
    CHECK_TRUE(placement.has_value());
    for (const PrefillHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index < 20);
}

TEST(PlacementPlannerTest, gatewaysThatDecideAtTheSameMomentUseDifferentHelpers)
{
    const std::vector<UpstreamUsage> usages(60);
    auto first = engineCandidates(usages);
    auto second = first;
    for (std::size_t i = 0; i < usages.size(); ++i) {
        first[i].tieBreaker = static_cast<double>(i * 37 % 60) / 60;
        second[i].tieBreaker = static_cast<double>(i * 23 % 60) / 60;
    }
    const auto one = placePrompt(this->model, first, this->review);
    const auto other = placePrompt(this->model, second, this->review);
    std::set<std::size_t> used;
    for (const PrefillHelper& helper : one->helpers)
        used.insert(helper.index);
    const auto shared = std::ranges::count_if(
        other->helpers, [&used](const PrefillHelper& helper) { return used.contains(helper.index); });
    CHECK_TRUE(static_cast<std::size_t>(shared) < other->helpers.size() / 2);
}

// All gateways restart at once: all callers reconnect together, before the gateways receive load updates from each
// other. Guards against all of them filling the same first engines.
TEST(PlacementPlannerTest, gatewaysWithoutPeerLoadSpreadShortPrompts)
{
    const std::vector<UpstreamUsage> usages(40);
    std::map<std::size_t, int> used;
    this->caption.isPeerLoadAvailable = false;
    for (std::size_t gateway = 0; gateway < 35; ++gateway) {
        auto candidates = engineCandidates(usages);
        for (std::size_t i = 0; i < usages.size(); ++i)
            candidates[i].tieBreaker = static_cast<double>((i + 1) * (gateway + 3) % 41) / 41;
        const auto placement = placePrompt(this->model, candidates, this->caption);
        CHECK_TRUE(placement.has_value());
        ++used[placement->runnerIndex];
    }
    // There are enough engines for each gateway to use its own; a few collisions are tolerated.
    CHECK_TRUE(used.size() >= 20);
    for (const auto& [engine, count] : used)
        CHECK_TRUE(count <= 3);
}
