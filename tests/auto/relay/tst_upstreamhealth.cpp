#include <relay/upstreamhealth.h>

#include <CppUTest/TestHarness.h>

using namespace Relay;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamHealthTest)
{
    UpstreamHealth health;
    Foundation::TimePoint now {};
};

TEST(UpstreamHealthTest, anUnreachableUpstreamIsLeftOutAndTriedAgain)
{
    CHECK_TRUE(this->health.note("u", Observation::Unreachable, this->now));
    CHECK_FALSE(this->health.isUsable("u", this->now + 100ms));
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, thePauseGrowsWithEachFurtherFailure)
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

TEST(UpstreamHealthTest, anEngineThatCannotHelpStillRunsPrompts)
{
    const auto pause = this->health.noteCannotHelp("u", this->now);
    this->health.note("u", Observation::Answered, this->now + 100ms);
    CHECK_TRUE(this->health.isUsable("u", this->now + 200ms));
    CHECK_FALSE(this->health.mayHelp("u", this->now + 200ms));
    CHECK_TRUE(this->health.mayHelp("u", this->now + pause));
}

TEST(UpstreamHealthTest, whatAnotherProcessMetIsBelievedForAWhile)
{
    this->health.noteHearsay("u", 400ms, false, this->now);
    CHECK_FALSE(this->health.isUsable("u", this->now + 300ms));
    CHECK_TRUE(this->health.isUsable("u", this->now + 400ms));
    CHECK_TRUE(this->health.mayHelp("u", this->now));
    // A process that is cut off must not keep the others away.
    this->health.noteHearsay("u", 1h, false, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 2s));
    this->health.noteHearsay("u", 1h, true, this->now);
    CHECK_FALSE(this->health.mayHelp("u", this->now + 1s));
    CHECK_TRUE(this->health.mayHelp("u", this->now + 4s));
}

TEST(UpstreamHealthTest, attemptsThatFailTogetherCountOnce)
{
    for (int i = 0; i < 20; ++i)
        this->health.note("u", Observation::Broken, this->now);
    CHECK_TRUE(this->health.isUsable("u", this->now + 500ms));
}

TEST(UpstreamHealthTest, anUpstreamThatFailsOftenIsLeftOutThoughSomeSucceed)
{
    bool isLeftOut = false;
    for (int i = 0; i < 20 && !isLeftOut; ++i) {
        this->health.note("u", Observation::Answered, this->now);
        isLeftOut = this->health.note("u", Observation::Failed, this->now)
            || this->health.note("u", Observation::Failed, this->now);
    }
    CHECK_TRUE(isLeftOut);
}

TEST(UpstreamHealthTest, fewErrorsAreNoReason)
{
    for (int i = 0; i < 50; ++i) {
        CHECK_FALSE(this->health.note("u", Observation::Failed, this->now));
        for (int j = 0; j < 6; ++j)
            this->health.note("u", Observation::Answered, this->now);
    }
}

TEST(UpstreamHealthTest, slownessFollowsWhatIsSeen)
{
    DOUBLES_EQUAL(1, this->health.slowness("u"), 1e-9);
    for (int i = 0; i < 60; ++i)
        this->health.noteDelay("u", 100ms, 400ms);
    DOUBLES_EQUAL(4, this->health.slowness("u"), 0.1);
    for (int i = 0; i < 60; ++i)
        this->health.noteDelay("u", 100ms, 50ms);
    DOUBLES_EQUAL(1, this->health.slowness("u"), 0.1);
}

TEST(UpstreamHealthTest, whatIsForgottenBeginsAnew)
{
    this->health.note("u", Observation::Broken, this->now);
    this->health.forget("u");
    CHECK_TRUE(this->health.isUsable("u", this->now));
}
