#include <membership/upstreamdirectory.h>

#include <CppUTest/TestHarness.h>

using namespace Membership;
using namespace std::chrono_literals;

namespace {

UpstreamEntry makeEntry(const std::string& id, std::int64_t startedAtMs = 1, bool isDraining = false)
{
    return { id, startedAtMs, "s", "10.0.0.1:80", "a", 4, isDraining, 0ms };
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

TEST(UpstreamDirectoryTest, anEntryOfAnEarlierGenerationIsIgnored)
{
    this->directory.update(makeEntry("x", 5), this->now);
    this->directory.update(makeEntry("x", 4, true), this->now);
    CHECK_FALSE(this->directory.find("x")->entry.isDraining);
    STRCMP_EQUAL("x/5", this->directory.find("x")->generationId().c_str());
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
    this->directory.update(makeEntry("x"), this->now + 3s);
    CHECK_FALSE(this->directory.hasEndedUnexpectedly("x/1"));
    CHECK_FALSE(this->directory.isSuperseded(makeEntry("x")));
}
