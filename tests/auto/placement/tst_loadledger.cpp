#include <placement/loadledger.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Placement;
using namespace std::chrono_literals;

namespace {

Job promptAt(const std::string& upstream, const std::string& helper)
{
    Job job;
    job.upstream = upstream;
    job.parts = { { upstream, 1'000, 0 }, { helper, 1'000, 500 } };
    job.tokens = 700;
    job.gapMs = 250;
    job.weight = 1'500;
    return job;
}

} // namespace

TEST_GROUP(LoadLedgerTest)
{
    Foundation::ManualClock clock;
    LoadLedger ledger { this->clock };
};

TEST(LoadLedgerTest, aJobCountsAtItsUpstreamAndAtThoseThatHelp)
{
    const JobId job = this->ledger.begin(promptAt("a", "b"));
    LONGS_EQUAL(1, this->ledger.loadOf("a").requests);
    LONGS_EQUAL(700, this->ledger.loadOf("a").tokens);
    LONGS_EQUAL(1'000, this->ledger.loadOf("b").readingUs);
    LONGS_EQUAL(500, this->ledger.loadOf("b").tokens);
    this->ledger.noteReadingDone(job);
    LONGS_EQUAL(0, this->ledger.loadOf("b").readingUs);
    LONGS_EQUAL(500, this->ledger.loadOf("b").tokens);
    LONGS_EQUAL(1, this->ledger.loadOf("a").groups.at(250).count);
    this->ledger.end(job);
    CHECK_TRUE(this->ledger.loadOf("a").isEmpty());
    CHECK_TRUE(this->ledger.loadOf("b").isEmpty());
}

TEST(LoadLedgerTest, readingWearsOffWithTimeButNotWholly)
{
    Job job = promptAt("a", "b");
    job.parts[0].readingUs = 400'000;
    this->ledger.begin(job);
    CHECK_TRUE(this->ledger.readingLeft("a") > 399ms && this->ledger.readingLeft("a") <= 400ms);
    this->clock.advance(200ms);
    const auto left = this->ledger.readingLeft("a");
    CHECK_TRUE(left > 150ms && left < 300ms);
    this->clock.advance(10s);
    CHECK_TRUE(this->ledger.readingLeft("a") > 0ms);
}

TEST(LoadLedgerTest, readingOfAPeerThatIsToldAgainDoesNotBeginAnew)
{
    const UpstreamShare share { "a", 400'000, 1, 10, {} };
    this->ledger.setPeerShares("p", std::span(&share, 1), false);
    this->clock.advance(300ms);
    const auto before = this->ledger.readingLeft("a");
    this->ledger.setPeerShares("p", std::span(&share, 1), true);
    CHECK_TRUE(this->ledger.readingLeft("a") == before);
}

TEST(LoadLedgerTest, aLostPeerLeavesNothing)
{
    const UpstreamShare share { "a", 5, 1, 10, { { 250, { 1, 3 } } } };
    this->ledger.setPeerShares("p", std::span(&share, 1), true);
    LONGS_EQUAL(1, this->ledger.loadOf("a").requests);
    this->ledger.dropPeer("p");
    CHECK_TRUE(this->ledger.loadOf("a").isEmpty());
}

TEST(LoadLedgerTest, processesThatTellEachOtherTheirChangesAgree)
{
    CHECK_TRUE(rc::check([] {
        Foundation::ManualClock clock;
        LoadLedger one(clock);
        LoadLedger two(clock);
        std::vector<JobId> jobs;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step < 2 || jobs.empty())
                jobs.push_back(one.begin(promptAt(step == 0 ? "a" : "b", "c")));
            else if (step == 2)
                one.noteReadingDone(jobs.back());
            else {
                one.end(jobs.back());
                jobs.pop_back();
            }
            if (*rc::gen::arbitrary<bool>())
                two.setPeerShares("one", one.takeChanges(), false);
            else
                two.setPeerShares("one", one.ownShares(), true);
        }
        two.setPeerShares("one", one.takeChanges(), false);
        for (const char* const upstream : { "a", "b", "c" })
            RC_ASSERT(one.loadOf(upstream) == two.loadOf(upstream));
    }));
}
