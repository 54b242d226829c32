#include <membership/upstreamdirectory.h>

#include <CppUTest/TestHarness.h>

using namespace Membership;
using namespace std::chrono_literals;

namespace {

UpstreamEntry makeEntry(
    const std::string& id, std::int64_t startedAtMs = 1, bool isDraining = false, std::int64_t sequence = 0)
{
    return { id, startedAtMs, "s", "10.0.0.1:80", "a", 4, isDraining, 0ms, sequence };
}

} // namespace

TEST_GROUP(UpstreamDirectoryTest)
{
    UpstreamDirectory directory;
    Foundation::TimePoint now = Foundation::TimePoint {} + 1h;
};

TEST(UpstreamDirectoryTest, drainingAndEvacuatedUpstreamsDoNotAcceptRequests)
{
    this->directory.update(makeEntry("x"), this->now);
    UNSIGNED_LONGS_EQUAL(1, this->directory.acceptingUpstreams("s").size());
    this->directory.setEvacuated({ "a" });
    UNSIGNED_LONGS_EQUAL(0, this->directory.acceptingUpstreams("s").size());
    this->directory.setEvacuated({});
    this->directory.update(makeEntry("x", 1, true), this->now);
    UNSIGNED_LONGS_EQUAL(0, this->directory.acceptingUpstreams("s").size());
}

TEST(UpstreamDirectoryTest, anEntryOfAnEndedGenerationIsIgnored)
{
    this->directory.update(makeEntry("x", 4), this->now);
    this->directory.update(makeEntry("x", 5), this->now);
    this->directory.update(makeEntry("x", 4, true), this->now);
    CHECK_FALSE(this->directory.find("x")->entry.isDraining);
    STRCMP_EQUAL("x/5", this->directory.find("x")->generationId().c_str());
}

// The time of day of an upstream's machine may be set back between two of its starts.
TEST(UpstreamDirectoryTest, aRestartedUpstreamWithAnEarlierTimeOfDayReplacesTheListedGeneration)
{
    this->directory.update(makeEntry("x", 5'000), this->now);
    this->directory.update(makeEntry("x", 3'000), this->now + 1s);
    STRCMP_EQUAL("x/3000", this->directory.find("x")->generationId().c_str());
    CHECK_TRUE(this->directory.hasEndedUnexpectedly("x/5000"));
    UNSIGNED_LONGS_EQUAL(1, this->directory.acceptingUpstreams("s").size());
    // A copy of the list may be older than what is known.
    CHECK_TRUE(this->directory.isSuperseded(makeEntry("x", 5'000)));
}

// Another writer may leave an entry under the id of an upstream.
TEST(UpstreamDirectoryTest, anUpstreamThatGoesOnWritingReplacesAnEntryOfAnotherWriter)
{
    this->directory.update(makeEntry("x", 5'000), this->now);
    this->directory.update(makeEntry("x", 9'000), this->now);
    CHECK_FALSE(this->directory.update(makeEntry("x", 5'000, false, 1), this->now));
    CHECK_TRUE(this->directory.update(makeEntry("x", 5'000, false, 2), this->now + 1s));
    STRCMP_EQUAL("x/5000", this->directory.find("x")->generationId().c_str());
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("x/5000"));
    CHECK_TRUE(this->directory.update(makeEntry("x", 0, false, 3), this->now + 1s));
    STRCMP_EQUAL("x/5000", this->directory.find("x")->generationId().c_str());
}

TEST(UpstreamDirectoryTest, aRemovedEntryIsGoneAtOnceWithoutAnOutage)
{
    this->directory.update(makeEntry("x"), this->now);
    this->directory.remove("x", this->now);
    UNSIGNED_LONGS_EQUAL(0, this->directory.size());
}

TEST(UpstreamDirectoryTest, entriesThatExpiredInAnOutageStayUntilTheGracePeriodEnds)
{
    this->directory.update(makeEntry("x"), this->now);
    this->directory.update(makeEntry("y"), this->now);
    this->directory.extendGracePeriod(this->now + 2s);
    this->directory.remove("x", this->now);
    this->directory.remove("y", this->now);
    UNSIGNED_LONGS_EQUAL(2, this->directory.acceptingUpstreams("s").size());
    this->directory.update(makeEntry("x"), this->now + 1s);
    this->directory.expire(this->now + 3s);
    UNSIGNED_LONGS_EQUAL(1, this->directory.size());
    CHECK_TRUE(this->directory.find("x") != nullptr);
}

TEST(UpstreamDirectoryTest, anUpstreamThatDrainedBeforeTheOutageIsRemovedAtOnce)
{
    this->directory.update(makeEntry("x", 1, true), this->now);
    this->directory.extendGracePeriod(this->now + 2s);
    this->directory.remove("x", this->now);
    UNSIGNED_LONGS_EQUAL(0, this->directory.size());
}

TEST(UpstreamDirectoryTest, aMisaddressedUpstreamAcceptsRequestsAgainAfterARestart)
{
    this->directory.update(makeEntry("x"), this->now);
    this->directory.markMisaddressed("x");
    this->directory.update(makeEntry("x"), this->now);
    UNSIGNED_LONGS_EQUAL(0, this->directory.acceptingUpstreams("s").size());
    this->directory.update(makeEntry("x", 2), this->now);
    UNSIGNED_LONGS_EQUAL(1, this->directory.acceptingUpstreams("s").size());
}

TEST(UpstreamDirectoryTest, theDigestDiffersOnlyIfTheEntryChanged)
{
    CHECK_TRUE(entryDigest(makeEntry("x")) == entryDigest(makeEntry("x")));
    CHECK_TRUE(entryDigest(makeEntry("x")) != entryDigest(makeEntry("x", 2)));
    CHECK_TRUE(entryDigest(makeEntry("x")) != entryDigest(makeEntry("x", 1, true)));
}

TEST(UpstreamDirectoryTest, onlyAGenerationThatDidNotSayThatItLeavesHasEndedUnexpectedly)
{
    this->directory.update(makeEntry("x"), this->now);
    this->directory.update(makeEntry("y", 1, true), this->now);
    this->directory.update(makeEntry("z", 1), this->now);
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("x/1"));
    this->directory.remove("x", this->now);
    this->directory.remove("y", this->now);
    this->directory.update(makeEntry("z", 2), this->now);
    CHECK_TRUE(this->directory.hasEndedUnexpectedly("x/1"));
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("y/1"));
    CHECK_TRUE(this->directory.hasEndedUnexpectedly("z/1"));
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("z/2"));
}

TEST(UpstreamDirectoryTest, aGenerationWhoseEntryIsWrittenAgainHasNotEnded)
{
    this->directory.update(makeEntry("x"), this->now);
    this->directory.remove("x", this->now);
    this->directory.update(makeEntry("x", 1, false, 1), this->now + 3s);
    CHECK_TRUE(this->directory.hasEndedUnexpectedly("x/1"));
    this->directory.update(makeEntry("x", 1, false, 2), this->now + 4s);
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("x/1"));
    CHECK_FALSE(this->directory.isSuperseded(makeEntry("x", 1, false, 2)));
}

TEST(UpstreamDirectoryTest, anUpstreamThatSaysThatItLeavesGetsNoRequestsUntilItIsRestarted)
{
    this->directory.update(makeEntry("x"), this->now);
    CHECK_TRUE(this->directory.markLeaving("x/1", this->now));
    CHECK_FALSE(this->directory.markLeaving("x/1", this->now));
    UNSIGNED_LONGS_EQUAL(0, this->directory.acceptingUpstreams("s").size());
    this->directory.remove("x", this->now);
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("x/1"));
    this->directory.update(makeEntry("x"), this->now + 1s);
    UNSIGNED_LONGS_EQUAL(0, this->directory.acceptingUpstreams("s").size());
    this->directory.update(makeEntry("x", 2), this->now + 2s);
    UNSIGNED_LONGS_EQUAL(1, this->directory.acceptingUpstreams("s").size());
}

TEST(UpstreamDirectoryTest, anUpstreamThatSaysThatItLeavesIsRemovedAtOnceInAGracePeriod)
{
    this->directory.update(makeEntry("x"), this->now);
    this->directory.markLeaving("x/1", this->now);
    this->directory.extendGracePeriod(this->now + 2s);
    this->directory.remove("x", this->now);
    UNSIGNED_LONGS_EQUAL(0, this->directory.size());
}
