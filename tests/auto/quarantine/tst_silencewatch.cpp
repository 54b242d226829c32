#include <quarantine/silencewatch.h>
#include <quarantine/suspectregistry.h>

#include <CppUTest/TestHarness.h>

using namespace Quarantine;
using namespace std::chrono_literals;

TEST_GROUP(SilenceWatch)
{
    Foundation::TimePoint now {};
    SilenceWatch watch;

    void add(std::uint64_t call, const std::string& generation)
    {
        CHECK_TRUE(
            this->watch.add({ call, generation, { "f", generation, CrashCertainty::Possible }, this->now + 2s }));
    }
};

TEST(SilenceWatch, anUpstreamIsTakenAsCrashedOnlyAfterALongSilence)
{
    this->add(1, "u/1");
    CHECK_TRUE(this->watch.takeOverdue(this->now + 1'900ms).empty());
    UNSIGNED_LONGS_EQUAL(1, this->watch.takeOverdue(this->now + 2s).size());
    CHECK_FALSE(this->watch.take(1).has_value());
}

TEST(SilenceWatch, allAttemptsAtAnUpstreamThatGoesOnAreTaken)
{
    this->add(1, "u/1");
    this->add(2, "u/1");
    this->add(3, "v/1");
    UNSIGNED_LONGS_EQUAL(2, this->watch.takeGeneration("u/1").size());
    CHECK_TRUE(this->watch.take(3).has_value());
    UNSIGNED_LONGS_EQUAL(0, this->watch.size());
}

TEST(SilenceWatch, anAttemptWhoseRequestHasEndedIsNotWatchedUntilItsUpstreamCountsAsCrashed)
{
    this->add(1, "u/1");
    this->add(2, "u/1");
    this->watch.limit(1, this->now + 350ms);
    CHECK_TRUE(this->watch.takeUndecided(this->now + 300ms).empty());
    const auto undecided = this->watch.takeUndecided(this->now + 350ms);
    UNSIGNED_LONGS_EQUAL(1, undecided.size());
    UNSIGNED_LONGS_EQUAL(1, undecided.at(0).call);
    UNSIGNED_LONGS_EQUAL(1, this->watch.size());
}

TEST(SilenceWatch, aLimitedAttemptWhoseUpstreamIsSilentForTooLongCountsAsCrashed)
{
    this->add(1, "u/1");
    this->watch.limit(1, this->now + 1'900ms);
    CHECK_TRUE(this->watch.takeUndecided(this->now + 2s).empty());
    UNSIGNED_LONGS_EQUAL(1, this->watch.takeOverdue(this->now + 2s).size());
}

TEST(SilenceWatch, theNumberOfWatchedAttemptsIsBounded)
{
    std::uint64_t call = 0;
    while (call < 10'000 && this->watch.add({ ++call, "u/1", {}, this->now }))
        ;
    CHECK_TRUE(this->watch.size() < 1'000);
}

TEST(SilenceWatch, possibleCrashesOfAnUpstreamThatGoesOnAreWithdrawn)
{
    Foundation::ManualClock clock;
    SuspectRegistry suspects(clock);
    suspects.record({ "f", "u/1", CrashCertainty::Possible });
    suspects.record({ "g", "u/1", CrashCertainty::Confirmed });
    suspects.record({ "f", "v/1", CrashCertainty::Possible });
    UNSIGNED_LONGS_EQUAL(1, suspects.withdrawGeneration("u/1").size());
    suspects.confirmEnded([](std::string_view) { return false; }, [](std::string_view) { return true; });
    UNSIGNED_LONGS_EQUAL(1, suspects.crashCount("f"));
    UNSIGNED_LONGS_EQUAL(1, suspects.crashCount("g"));
}
