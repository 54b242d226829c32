#include "modeloftests.h"

#include <placement/placementplanner.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

PromptDemand demandOf(std::int64_t tokens, Foundation::Duration gap, Foundation::Duration goal)
{
    return { tokens, 600, gap, goal, weightOf(tokens) };
}

UpstreamShare shareOf(std::int64_t gapMs, std::int64_t count, std::int64_t tokensEach)
{
    UpstreamShare share;
    share.requests = count;
    share.tokens = count * tokensEach;
    share.groups[gapMs] = { count, count * static_cast<std::int64_t>(weightOf(tokensEach) * 1e3) };
    return share;
}

std::vector<EngineCandidate> candidatesOf(std::span<const UpstreamShare> shares)
{
    std::vector<EngineCandidate> candidates;
    for (const UpstreamShare& share : shares) {
        EngineCandidate candidate;
        candidate.load = &share;
        candidate.slots = 16;
        candidates.push_back(candidate);
    }
    return candidates;
}

} // namespace

TEST_GROUP(PlacementPlannerTest)
{
    EngineModel model = modelOfTests();
    PromptDemand caption = demandOf(5'000, 250ms, 300ms);
    PromptDemand review = demandOf(182'000, 1s, 3s);
};

TEST(PlacementPlannerTest, readingTimeFollowsTheTableOfThePages)
{
    CHECK_TRUE(this->model.readingTime(45'000) > 450ms && this->model.readingTime(45'000) < 460ms);
    CHECK_TRUE(this->model.readingTime(182'000, 16) > 240ms && this->model.readingTime(182'000, 16) < 244ms);
}

TEST(PlacementPlannerTest, aLongPromptIsReadByEnginesWithoutShortStreams)
{
    std::vector<UpstreamShare> shares(16);
    for (std::size_t i = 0; i < 4; ++i)
        shares[i] = shareOf(250, 12, 5'000);
    const auto placement = placePrompt(this->model, candidatesOf(shares), this->review);
    CHECK_TRUE(placement.has_value());
    CHECK_TRUE(placement->harm == 0);
    CHECK_TRUE(placement->upstream >= 4);
    for (const PlacedHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index >= 4);
    CHECK_TRUE(placement->helpers.size() >= 8);
    CHECK_TRUE(placement->firstEvent < 1s);
}

TEST(PlacementPlannerTest, shortPromptsUseNoMoreEnginesThanTheirStreamsNeed)
{
    CHECK_TRUE(rc::check([this] {
        const auto fills = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 12));
        std::vector<UpstreamShare> shares(16);
        int streams = 1;
        for (std::size_t i = 0; i < fills.size(); ++i) {
            if (fills[i] > 0)
                shares[i] = shareOf(250, fills[i], 5'000);
            streams += fills[i];
        }
        auto candidates = candidatesOf(shares);
        for (EngineCandidate& candidate : candidates)
            candidate.chance = *rc::gen::inRange(0, 1000) / 1e3;
        const auto placement = placePrompt(this->model, candidates, this->caption);
        // Twelve of sixteen slots are filled, and one engine more is open for those that come at once.
        const std::size_t needed = static_cast<std::size_t>(streams / (0.8 * 12)) + 2;
        RC_ASSERT(placement->upstream < needed);
    }));
}

TEST(PlacementPlannerTest, processesThatDecideAtOnceDoNotAllChooseTheSameEngine)
{
    std::vector<UpstreamShare> shares(16);
    for (std::size_t i = 0; i < 6; ++i)
        shares[i] = shareOf(250, 8, 5'000);
    std::set<std::size_t> chosen;
    for (int process = 0; process < 30; ++process) {
        auto candidates = candidatesOf(shares);
        for (std::size_t i = 0; i < candidates.size(); ++i)
            candidates[i].chance = (process * 7 + static_cast<int>(i) * 13) % 31 / 31.0;
        chosen.insert(placePrompt(this->model, candidates, this->caption)->upstream);
    }
    CHECK_TRUE(chosen.size() >= 4);
}

TEST(PlacementPlannerTest, shortPromptsLeaveTheLastEnginesToLongOnes)
{
    std::vector<UpstreamShare> shares(16, shareOf(250, 11, 5'000));
    shares[14] = {};
    shares[15] = {};
    const auto placement = placePrompt(this->model, candidatesOf(shares), this->caption);
    CHECK_TRUE(placement->upstream < 14);
}

TEST(PlacementPlannerTest, aPromptLargerThanAnEngineIsHeldBySeveral)
{
    const std::vector<UpstreamShare> shares(16);
    const auto placement = placePrompt(this->model, candidatesOf(shares), demandOf(700'000, 1s, 3s));
    CHECK_TRUE(placement.has_value());
    std::int64_t held = placement->tokens;
    for (const PlacedHelper& helper : placement->helpers)
        held += helper.heldTokens;
    CHECK_TRUE(held >= 700'600);
}

TEST(PlacementPlannerTest, noEngineIsPromisedMoreMemoryOrSlotsThanItHas)
{
    CHECK_TRUE(rc::check([this] {
        const auto fills = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 17));
        const auto tokensEach = *rc::gen::element<std::int64_t>(5'000, 45'000, 150'000);
        std::vector<UpstreamShare> shares;
        for (const int fill : fills) {
            const auto fitting = std::min<std::int64_t>(fill, 400'000 / tokensEach);
            shares.push_back(shareOf(1'000, fitting, tokensEach));
        }
        const auto tokens = *rc::gen::inRange<std::int64_t>(1'000, 900'000);
        const auto placement = placePrompt(this->model, candidatesOf(shares), demandOf(tokens, 1s, 3s));
        if (!placement)
            return;
        const auto fits = [&](std::size_t index, std::int64_t more) {
            return shares[index].tokens + more <= this->model.profile().memoryTokens;
        };
        RC_ASSERT(shares[placement->upstream].requests < 16);
        RC_ASSERT(fits(placement->upstream, placement->tokens));
        std::set<std::size_t> engines { placement->upstream };
        for (const PlacedHelper& helper : placement->helpers) {
            RC_ASSERT(engines.insert(helper.index).second);
            RC_ASSERT(fits(helper.index, helper.heldTokens));
        }
        RC_ASSERT(placement->helpers.size() <= 16);
    }));
}

TEST(PlacementPlannerTest, anEngineThatMustNotHelpIsLeftOut)
{
    const std::vector<UpstreamShare> shares(8);
    auto candidates = candidatesOf(shares);
    candidates[7].mayHelp = false;
    candidates[7].mayRun = false;
    const auto placement = placePrompt(this->model, candidates, this->review);
    CHECK_TRUE(placement->upstream != 7);
    for (const PlacedHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index != 7);
}

TEST(PlacementPlannerTest, helpersAreNotTakenFromEnginesThatReadAPromptOfTheirOwn)
{
    std::vector<UpstreamShare> shares(20);
    for (std::size_t i = 17; i < 20; ++i) {
        shares[i].ownReadingUs = 150'000;
        shares[i].readingUs = 150'000;
    }
    // Their reading is nearly done, so they would be as soon ready as the others.
    const auto placement = placePrompt(this->model, candidatesOf(shares), this->review);
    CHECK_TRUE(placement.has_value());
    for (const PlacedHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index < 17);
}

TEST(PlacementPlannerTest, helpersAreRatherTakenFromEnginesWithoutStreams)
{
    std::vector<UpstreamShare> shares(26);
    // Streams that bear this part alone, but not another gateway's beside it.
    for (std::size_t i = 20; i < 26; ++i)
        shares[i] = shareOf(1'000, 4, 60'000);
    const auto placement = placePrompt(this->model, candidatesOf(shares), this->review);
    CHECK_TRUE(placement.has_value());
    for (const PlacedHelper& helper : placement->helpers)
        CHECK_TRUE(helper.index < 20);
}

TEST(PlacementPlannerTest, gatewaysThatDecideAtTheSameMomentTakeDifferentEngines)
{
    const std::vector<UpstreamShare> shares(60);
    auto first = candidatesOf(shares);
    auto second = first;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        first[i].chance = static_cast<double>(i * 37 % 60) / 60;
        second[i].chance = static_cast<double>(i * 23 % 60) / 60;
    }
    const auto one = placePrompt(this->model, first, this->review);
    const auto other = placePrompt(this->model, second, this->review);
    std::set<std::size_t> taken;
    for (const PlacedHelper& helper : one->helpers)
        taken.insert(helper.index);
    const auto shared = std::ranges::count_if(
        other->helpers, [&taken](const PlacedHelper& helper) { return taken.contains(helper.index); });
    CHECK_TRUE(static_cast<std::size_t>(shared) < other->helpers.size() / 2);
}

// The load of a start of all gateways at once: their callers come back together, and nobody hears the others yet.
TEST(PlacementPlannerTest, gatewaysThatDoNotHearEachOtherSpreadShortPrompts)
{
    const std::vector<UpstreamShare> shares(40);
    std::map<std::size_t, int> taken;
    this->caption.isLoadKnown = false;
    for (std::size_t gateway = 0; gateway < 35; ++gateway) {
        auto candidates = candidatesOf(shares);
        for (std::size_t i = 0; i < shares.size(); ++i)
            candidates[i].chance = static_cast<double>((i + 1) * (gateway + 3) % 41) / 41;
        const auto placement = placePrompt(this->model, candidates, this->caption);
        CHECK_TRUE(placement.has_value());
        ++taken[placement->upstream];
    }
    // Each could take its own engine; a few may meet.
    CHECK_TRUE(taken.size() >= 20);
    for (const auto& [engine, count] : taken)
        CHECK_TRUE(count <= 3);
}
