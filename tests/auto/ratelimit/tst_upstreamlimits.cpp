#include <ratelimit/upstreamlimits.h>

#include <CppUTest/TestHarness.h>

using namespace RateLimit;
using namespace std::chrono_literals;

TEST_GROUP(UpstreamLimitsTest)
{
    UpstreamLimits limits;
    Foundation::TimePoint now { 10s };
};

TEST(UpstreamLimitsTest, anAnswerToAnEarlierRequestDoesNotEndALimit)
{
    CHECK_TRUE(this->limits.recordAnswer("u/1", 2.0, this->now - 1s, this->now));
    CHECK_FALSE(this->limits.recordAnswer("u/1", std::nullopt, this->now - 500ms, this->now + 100ms));
    DOUBLES_EQUAL(2.0, this->limits.find("u/1").value_or(0), 0);
    CHECK_TRUE(this->limits.recordAnswer("u/1", std::nullopt, this->now + 200ms, this->now + 300ms));
    CHECK_FALSE(this->limits.find("u/1").has_value());
    UNSIGNED_LONGS_EQUAL(0, this->limits.size());
}

TEST(UpstreamLimitsTest, anOlderNoticeChangesNothing)
{
    this->limits.recordAnswer("u/1", 2.0, this->now, this->now);
    CHECK_FALSE(this->limits.recordNotice({ "u/1", 5.0, 2s }, this->now + 1s));
    CHECK_FALSE(this->limits.recordNotice({ "u/1", std::nullopt, 2s }, this->now + 1s));
    CHECK_TRUE(this->limits.recordNotice({ "u/1", 5.0, 100ms }, this->now + 1s));
    DOUBLES_EQUAL(5.0, this->limits.find("u/1").value_or(0), 0);
}

TEST(UpstreamLimitsTest, aLimitThatHasEndedIsNotRevivedByAnOlderNotice)
{
    this->limits.recordAnswer("u/1", 2.0, this->now, this->now);
    this->limits.recordAnswer("u/1", std::nullopt, this->now + 1s, this->now + 2s);
    CHECK_FALSE(this->limits.recordNotice({ "u/1", 2.0, 1s }, this->now + 2s));
    CHECK_FALSE(this->limits.find("u/1").has_value());
}

TEST(UpstreamLimitsTest, anUpstreamThatTakesNothingIsAskedNowAndThen)
{
    this->limits.recordAnswer("u/1", 0.0, this->now, this->now);
    CHECK_TRUE(this->limits.find("u/1").value_or(0) > 0);
}

TEST(UpstreamLimitsTest, noticesTellTheLimitsInForce)
{
    this->limits.recordAnswer("u/1", 2.0, this->now, this->now);
    this->limits.recordAnswer("u/2", 3.0, this->now, this->now);
    this->limits.remove("u/2");
    const auto notices = this->limits.notices(this->now + 1s);
    UNSIGNED_LONGS_EQUAL(1, notices.size());
    STRCMP_EQUAL("u/1", notices.front().upstreamGeneration.c_str());
    CHECK_TRUE(notices.front().age == 1s);
}
