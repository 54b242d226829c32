#include <relay/upstreamhealth.h>

#include <CppUTest/TestHarness.h>

using namespace Relay;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamHealthTest)
{
    UpstreamHealth health;
    Foundation::TimePoint now {};
};

TEST(UpstreamHealthTest, anUnreachableUpstreamIsEjectedAndTriedAgain)
{
    CHECK_TRUE(this->health.note("u", Observation::Unreachable, this->now));
    CHECK_FALSE(this->health.isUsable("u", this->now + 100ms));
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, theEjectionTimeGrowsWithEachConsecutiveFailure)
{
    this->health.note("u", Observation::Broken, this->now);
    this->now += 1s;
    this->health.note("u", Observation::Broken, this->now);
    CHECK_FALSE(this->health.isUsable("u", this->now + 700ms));
    this->now += 10s;
    this->health.note("u", Observation::Answered, this->now);
    this->health.note("u", Observation::Broken, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, anUpstreamThatRefusesToHelpStaysUsable)
{
    const auto refusalTime = this->health.noteCannotHelp("u", this->now);
    this->health.note("u", Observation::Answered, this->now + 100ms);
    CHECK_TRUE(this->health.isUsable("u", this->now + 200ms));
    CHECK_FALSE(this->health.mayHelp("u", this->now + 200ms));
    CHECK_TRUE(this->health.mayHelp("u", this->now + refusalTime));
}

TEST(UpstreamHealthTest, aPeerReportAppliesForALimitedTime)
{
    this->health.noteHearsay("u", 400ms, false, this->now);
    CHECK_FALSE(this->health.isUsable("u", this->now + 300ms));
    CHECK_TRUE(this->health.isUsable("u", this->now + 400ms));
    CHECK_TRUE(this->health.mayHelp("u", this->now));
    // A partitioned process must not eject healthy upstreams at the others for long.
    this->health.noteHearsay("u", 1h, false, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 2s));
    this->health.noteHearsay("u", 1h, true, this->now);
    CHECK_FALSE(this->health.mayHelp("u", this->now + 1s));
    CHECK_TRUE(this->health.mayHelp("u", this->now + 4s));
}

TEST(UpstreamHealthTest, failuresDuringAnEjectionCountOnce)
{
    for (int i = 0; i < 20; ++i)
        this->health.note("u", Observation::Broken, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, anUpstreamWithAHighFailureRateIsEjectedThoughSomeRequestsSucceed)
{
    bool isEjected = false;
    for (int i = 0; i < 20 && !isEjected; ++i) {
        this->health.note("u", Observation::Answered, this->now);
        isEjected = this->health.note("u", Observation::Failed, this->now)
            || this->health.note("u", Observation::Failed, this->now);
    }
    CHECK_TRUE(isEjected);
}

TEST(UpstreamHealthTest, aLowFailureRateDoesNotEject)
{
    for (int i = 0; i < 50; ++i) {
        CHECK_FALSE(this->health.note("u", Observation::Failed, this->now));
        for (int j = 0; j < 6; ++j)
            this->health.note("u", Observation::Answered, this->now);
    }
}

TEST(UpstreamHealthTest, theSlowdownFactorFollowsTheMeasuredDelays)
{
    DOUBLES_EQUAL(1, this->health.slowness("u"), 1e-9);
    for (int i = 0; i < 60; ++i)
        this->health.noteDelay("u", 100ms, 400ms);
    DOUBLES_EQUAL(4, this->health.slowness("u"), 0.1);
    for (int i = 0; i < 60; ++i)
        this->health.noteDelay("u", 100ms, 50ms);
    DOUBLES_EQUAL(1, this->health.slowness("u"), 0.1);
}

TEST(UpstreamHealthTest, aRemovedUpstreamStartsWithoutARecord)
{
    this->health.note("u", Observation::Broken, this->now);
    this->health.forget("u");
    CHECK_TRUE(this->health.isUsable("u", this->now));
}
