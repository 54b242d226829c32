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
    CHECK_TRUE(this->health.recordObservation("u", Observation::Unreachable, this->now));
    CHECK_FALSE(this->health.isUsable("u", this->now + 100ms));
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, theEjectionTimeGrowsWithEachConsecutiveFailure)
{
    this->health.recordObservation("u", Observation::Broken, this->now);
    this->now += 1s;
    this->health.recordObservation("u", Observation::Broken, this->now);
    CHECK_FALSE(this->health.isUsable("u", this->now + 700ms));
    this->now += 10s;
    this->health.recordObservation("u", Observation::Answered, this->now);
    this->health.recordObservation("u", Observation::Broken, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, anUpstreamThatRefusesToHelpStaysUsable)
{
    const auto refusalTime = this->health.recordHelpRefusal("u", this->now);
    this->health.recordObservation("u", Observation::Answered, this->now + 100ms);
    CHECK_TRUE(this->health.isUsable("u", this->now + 200ms));
    CHECK_FALSE(this->health.canHelp("u", this->now + 200ms));
    CHECK_TRUE(this->health.canHelp("u", this->now + refusalTime));
}

TEST(UpstreamHealthTest, aPeerReportAppliesForALimitedTime)
{
    this->health.applyPeerReport("u", 400ms, false, this->now);
    CHECK_FALSE(this->health.isUsable("u", this->now + 300ms));
    CHECK_TRUE(this->health.isUsable("u", this->now + 400ms));
    CHECK_TRUE(this->health.canHelp("u", this->now));
    // A partitioned process must not eject healthy upstreams at the others for long.
    this->health.applyPeerReport("u", 1h, false, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 2s));
    this->health.applyPeerReport("u", 1h, true, this->now);
    CHECK_FALSE(this->health.canHelp("u", this->now + 1s));
    CHECK_TRUE(this->health.canHelp("u", this->now + 4s));
}

TEST(UpstreamHealthTest, failuresDuringAnEjectionCountOnce)
{
    for (int i = 0; i < 20; ++i)
        this->health.recordObservation("u", Observation::Broken, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, anUpstreamWithAHighFailureRateIsEjectedThoughSomeRequestsSucceed)
{
    bool isEjected = false;
    for (int i = 0; i < 20 && !isEjected; ++i) {
        this->health.recordObservation("u", Observation::Answered, this->now);
        isEjected = this->health.recordObservation("u", Observation::Failed, this->now)
            || this->health.recordObservation("u", Observation::Failed, this->now);
    }
    CHECK_TRUE(isEjected);
}

TEST(UpstreamHealthTest, aLowFailureRateDoesNotEject)
{
    for (int i = 0; i < 50; ++i) {
        CHECK_FALSE(this->health.recordObservation("u", Observation::Failed, this->now));
        for (int j = 0; j < 6; ++j)
            this->health.recordObservation("u", Observation::Answered, this->now);
    }
}

TEST(UpstreamHealthTest, theSlowdownFactorFollowsTheMeasuredDelays)
{
    DOUBLES_EQUAL(1, this->health.slowdownFactor("u"), 1e-9);
    for (int i = 0; i < 60; ++i)
        this->health.recordDelay("u", 100ms, 400ms);
    DOUBLES_EQUAL(4, this->health.slowdownFactor("u"), 0.1);
    for (int i = 0; i < 60; ++i)
        this->health.recordDelay("u", 100ms, 50ms);
    DOUBLES_EQUAL(1, this->health.slowdownFactor("u"), 0.1);
}

TEST(UpstreamHealthTest, aRemovedUpstreamStartsWithoutARecord)
{
    this->health.recordObservation("u", Observation::Broken, this->now);
    this->health.remove("u");
    CHECK_TRUE(this->health.isUsable("u", this->now));
}

TEST(UpstreamHealthTest, anUpstreamThatAsksForAPauseGetsItInFull)
{
    const auto now = Foundation::TimePoint {} + 1h;
    UpstreamHealth health;
    health.recordPause("x", 2s, now);
    health.recordPause("x", 500ms, now);
    CHECK_TRUE(health.pauseLeft("x", now + 1s) == 1s);
    CHECK_TRUE(health.pauseLeft("x", now + 2s) == 0s);
    CHECK_TRUE(health.pauseLeft("y", now) == 0s);
    // A pause says nothing of the upstream's health.
    CHECK_TRUE(health.isUsable("x", now));
}
