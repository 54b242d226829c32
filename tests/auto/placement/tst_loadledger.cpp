#include <placement/loadledger.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

Job promptWithHelper(const std::string& upstream, const std::string& helper)
{
    Job request;
    request.upstream = upstream;
    request.parts = { { upstream, 1'000, 0 }, { helper, 1'000, 500 } };
    request.tokens = 700;
    request.gapMs = 250;
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
    const JobId request = this->ledger.begin(promptWithHelper("a", "b"));
    LONGS_EQUAL(1, this->ledger.loadOf("a").requests);
    LONGS_EQUAL(700, this->ledger.loadOf("a").tokens);
    LONGS_EQUAL(1'000, this->ledger.loadOf("b").readingUs);
    LONGS_EQUAL(500, this->ledger.loadOf("b").tokens);
    this->ledger.noteReadingDone(request);
    LONGS_EQUAL(0, this->ledger.loadOf("b").readingUs);
    LONGS_EQUAL(500, this->ledger.loadOf("b").tokens);
    LONGS_EQUAL(1, this->ledger.loadOf("a").groups.at(250).count);
    this->ledger.end(request);
    CHECK_TRUE(this->ledger.loadOf("a").isEmpty());
    CHECK_TRUE(this->ledger.loadOf("b").isEmpty());
}

TEST(LoadLedgerTest, prefillProgressesWithTimeButNotToZero)
{
    Job request = promptWithHelper("a", "b");
    request.parts[0].readingUs = 400'000;
    this->ledger.begin(request);
    CHECK_TRUE(this->ledger.readingLeft("a") > 399ms && this->ledger.readingLeft("a") <= 400ms);
    this->clock.advance(200ms);
    const auto remaining = this->ledger.readingLeft("a");
    CHECK_TRUE(remaining > 150ms && remaining < 300ms);
    this->clock.advance(10s);
    CHECK_TRUE(this->ledger.readingLeft("a") > 0ms);
}

TEST(LoadLedgerTest, aRepeatedPeerUpdateDoesNotRestartItsPrefill)
{
    const UpstreamShare usage { "a", 400'000, 1, 10, {} };
    this->ledger.setPeerShares("p", std::span(&usage, 1), false);
    this->clock.advance(300ms);
    const auto before = this->ledger.readingLeft("a");
    this->ledger.setPeerShares("p", std::span(&usage, 1), true);
    CHECK_TRUE(this->ledger.readingLeft("a") == before);
}

TEST(LoadLedgerTest, aDroppedPeerLeavesNoLoad)
{
    const UpstreamShare usage { "a", 5, 1, 10, { { 250, { 1, 3 } } } };
    this->ledger.setPeerShares("p", std::span(&usage, 1), true);
    LONGS_EQUAL(1, this->ledger.loadOf("a").requests);
    this->ledger.dropPeer("p");
    CHECK_TRUE(this->ledger.loadOf("a").isEmpty());
}

TEST(LoadLedgerTest, processesAgreeAfterExchangingTheirChanges)
{
    CHECK_TRUE(rc::check([] {
        Foundation::ManualClock clock;
        LoadLedger sender(clock);
        LoadLedger receiver(clock);
        std::vector<JobId> requests;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step < 2 || requests.empty())
                requests.push_back(sender.begin(promptWithHelper(step == 0 ? "a" : "b", "c")));
            else if (step == 2)
                sender.noteReadingDone(requests.back());
            else {
                sender.end(requests.back());
                requests.pop_back();
            }
            if (*rc::gen::arbitrary<bool>())
                receiver.setPeerShares("one", sender.takeChanges(), false);
            else
                receiver.setPeerShares("one", sender.ownShares(), true);
        }
        receiver.setPeerShares("one", sender.takeChanges(), false);
        for (const char* const upstream : { "a", "b", "c" })
            RC_ASSERT(sender.loadOf(upstream) == receiver.loadOf(upstream));
    }));
}
