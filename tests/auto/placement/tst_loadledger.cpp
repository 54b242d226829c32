#include <placement/loadledger.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

DispatchedRequest promptWithHelper(const std::string& upstream, const std::string& helper)
{
    DispatchedRequest request;
    request.upstream = upstream;
    request.parts = { { upstream, 1'000, 0 }, { helper, 1'000, 500 } };
    request.reservedTokens = 700;
    request.eventGapTargetMs = 250;
    request.weight = 1'500;
    return request;
}

} // namespace

TEST_GROUP(LoadLedgerTest)
{
    Foundation::ManualClock clock;
    LoadLedger ledger { this->clock };
};

TEST(LoadLedgerTest, aRequestCountsAtItsUpstreamAndItsHelpers)
{
    const DispatchedRequestId request = this->ledger.addRequest(promptWithHelper("a", "b"));
    LONGS_EQUAL(1, this->ledger.totalUsage("a").requests);
    LONGS_EQUAL(700, this->ledger.totalUsage("a").reservedTokens);
    LONGS_EQUAL(1'000, this->ledger.totalUsage("b").prefillUs);
    LONGS_EQUAL(500, this->ledger.totalUsage("b").reservedTokens);
    this->ledger.recordPrefillDone(request);
    LONGS_EQUAL(0, this->ledger.totalUsage("b").prefillUs);
    LONGS_EQUAL(500, this->ledger.totalUsage("b").reservedTokens);
    LONGS_EQUAL(1, this->ledger.totalUsage("a").streamsByGapMs.at(250).count);
    this->ledger.removeRequest(request);
    CHECK_TRUE(this->ledger.totalUsage("a").isEmpty());
    CHECK_TRUE(this->ledger.totalUsage("b").isEmpty());
}

TEST(LoadLedgerTest, prefillProgressesWithTimeButNotToZero)
{
    DispatchedRequest request = promptWithHelper("a", "b");
    request.parts[0].prefillUs = 400'000;
    this->ledger.addRequest(request);
    CHECK_TRUE(this->ledger.remainingPrefill("a") > 399ms && this->ledger.remainingPrefill("a") <= 400ms);
    this->clock.advance(200ms);
    const auto remaining = this->ledger.remainingPrefill("a");
    CHECK_TRUE(remaining > 150ms && remaining < 300ms);
    this->clock.advance(10s);
    CHECK_TRUE(this->ledger.remainingPrefill("a") > 0ms);
}

TEST(LoadLedgerTest, aRepeatedPeerUpdateDoesNotRestartItsPrefill)
{
    const UpstreamUsage usage { "a", 400'000, 1, 10, {} };
    this->ledger.setPeerUsage("p", std::span(&usage, 1), false);
    this->clock.advance(300ms);
    const auto before = this->ledger.remainingPrefill("a");
    this->ledger.setPeerUsage("p", std::span(&usage, 1), true);
    CHECK_TRUE(this->ledger.remainingPrefill("a") == before);
}

TEST(LoadLedgerTest, aDroppedPeerLeavesNoLoad)
{
    const UpstreamUsage usage { "a", 5, 1, 10, { { 250, { 1, 3 } } } };
    this->ledger.setPeerUsage("p", std::span(&usage, 1), true);
    LONGS_EQUAL(1, this->ledger.totalUsage("a").requests);
    this->ledger.dropPeer("p");
    CHECK_TRUE(this->ledger.totalUsage("a").isEmpty());
}

TEST(LoadLedgerTest, processesAgreeAfterExchangingTheirChanges)
{
    CHECK_TRUE(rc::check([] {
        Foundation::ManualClock clock;
        LoadLedger sender(clock);
        LoadLedger receiver(clock);
        std::vector<DispatchedRequestId> requests;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step < 2 || requests.empty())
                requests.push_back(sender.addRequest(promptWithHelper(step == 0 ? "a" : "b", "c")));
            else if (step == 2)
                sender.recordPrefillDone(requests.back());
            else {
                sender.removeRequest(requests.back());
                requests.pop_back();
            }
            if (*rc::gen::arbitrary<bool>())
                receiver.setPeerUsage("one", sender.takeChanges(), false);
            else
                receiver.setPeerUsage("one", sender.ownUsage(), true);
        }
        receiver.setPeerUsage("one", sender.takeChanges(), false);
        for (const char* const upstream : { "a", "b", "c" })
            RC_ASSERT(sender.totalUsage(upstream) == receiver.totalUsage(upstream));
    }));
}
