#include <admission/startupramp.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace Admission;

namespace {

Configuration::UpstreamDefinition testUpstream()
{
    Configuration::UpstreamDefinition upstream;
    upstream.maximumConcurrent = 64;
    upstream.prefillTokensPerSecond = 100'000;
    upstream.ramp = { 2, 10'000, 4 };
    return upstream;
}

} // namespace

TEST_GROUP(StartupRamp)
{
    Foundation::ManualClock clock;
    StartupRamp ramp { this->clock, testUpstream() };

    void completeRequests(int count)
    {
        for (int i = 0; i < count; ++i) {
            this->clock.advance(std::chrono::seconds(1));
            CHECK_TRUE(this->ramp.tryStart(10));
            this->ramp.recordCompletion();
        }
    }
};

TEST(StartupRamp, timeAloneDoesNotRaiseTheLimits)
{
    this->clock.advance(std::chrono::hours(24));
    LONGS_EQUAL(2, this->ramp.concurrentLimit());
    CHECK_TRUE(this->ramp.tryStart(1));
    CHECK_TRUE(this->ramp.tryStart(1));
    CHECK_FALSE(this->ramp.tryStart(1));
}

TEST(StartupRamp, failedRequestsDoNotRaiseTheLimits)
{
    for (int i = 0; i < 100; ++i) {
        CHECK_TRUE(this->ramp.tryStart(1));
        this->ramp.recordAbort();
        this->clock.advance(std::chrono::seconds(1));
    }
    LONGS_EQUAL(2, this->ramp.concurrentLimit());
}

TEST(StartupRamp, completedRequestsRaiseTheLimitsStepByStep)
{
    this->completeRequests(2);
    LONGS_EQUAL(4, this->ramp.concurrentLimit());
    this->completeRequests(4);
    LONGS_EQUAL(8, this->ramp.concurrentLimit());
    this->completeRequests(8 + 16 + 32);
    CHECK_TRUE(this->ramp.isWarm());
}

TEST(StartupRamp, concurrentRequestsStayWithinTheLimitEarnedByCompletions)
{
    CHECK_TRUE(rc::check("at most the initial limit plus the number of completed requests run concurrently", [] {
        Foundation::ManualClock clock;
        StartupRamp ramp(clock, testUpstream());
        std::int64_t running = 0;
        std::int64_t completed = 0;
        for (int step = 0; step < 500; ++step) {
            clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 200)));
            const auto action = *rc::gen::inRange(0, 10);
            if (action < 6) {
                running += ramp.tryStart(100) ? 1 : 0;
            } else if (running > 0 && action < 9) {
                ramp.recordCompletion();
                --running;
                ++completed;
            } else if (running > 0) {
                ramp.recordAbort();
                --running;
            }
            RC_ASSERT(running <= std::min<std::int64_t>(64, 2 + completed));
        }
    }));
}

TEST(StartupRamp, limitsThePrefillRateWhileCold)
{
    CHECK_TRUE(this->ramp.tryStart(9'000));
    CHECK_FALSE(this->ramp.tryStart(9'000));
    CHECK_TRUE(this->ramp.timeUntilPrefill(9'000) > Foundation::Duration::zero());
    this->clock.advance(std::chrono::seconds(1));
    CHECK_TRUE(this->ramp.tryStart(9'000));
}

TEST(StartupRamp, aRestartResetsTheLimits)
{
    this->completeRequests(62);
    CHECK_TRUE(this->ramp.isWarm());
    this->ramp.restart();
    LONGS_EQUAL(2, this->ramp.concurrentLimit());
    LONGS_EQUAL(0, this->ramp.running());
}

TEST(StartupRamp, slowFirstTokensOfAWarmUpstreamResetTheLimits)
{
    this->completeRequests(62);
    const auto expected = std::chrono::milliseconds(100);
    CHECK_FALSE(this->ramp.recordFirstToken(expected, expected));
    CHECK_FALSE(this->ramp.recordFirstToken(5 * expected, expected));
    CHECK_FALSE(this->ramp.recordFirstToken(expected, expected));
    CHECK_FALSE(this->ramp.recordFirstToken(5 * expected, expected));
    CHECK_FALSE(this->ramp.recordFirstToken(5 * expected, expected));
    CHECK_TRUE(this->ramp.recordFirstToken(5 * expected, expected));
    LONGS_EQUAL(2, this->ramp.concurrentLimit());
}
