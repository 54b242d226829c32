#include <relay/coldstartlimiter.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Relay;

TEST_GROUP(ColdStartLimiterTest) {};

TEST(ColdStartLimiterTest, allProcessesTogetherStayWithinTheRateInEverySecond)
{
    CHECK_TRUE(rc::check([] {
        const auto processes = *rc::gen::inRange<std::size_t>(1, 8);
        const double rate = 40;
        std::vector<ColdStartLimiter> limiters(processes);
        for (ColdStartLimiter& limiter : limiters)
            limiter.setProcessCount(processes);
        std::vector<Foundation::TimePoint> sent;
        Foundation::TimePoint now {};
        const auto steps = *rc::gen::container<std::vector<std::pair<std::size_t, int>>>(
            400, rc::gen::pair(rc::gen::inRange<std::size_t>(0, processes), rc::gen::inRange(0, 12)));
        for (const auto& [process, stepMs] : steps) {
            now += std::chrono::milliseconds(stepMs);
            if (!limiters[process].allows("u/1", rate, now))
                continue;
            limiters[process].countRequest("u/1", now);
            sent.push_back(now);
        }
        for (std::size_t i = 0; i < sent.size(); ++i) {
            std::size_t count = 0;
            for (std::size_t j = i; j < sent.size() && sent[j] - sent[i] < std::chrono::seconds(1); ++j)
                ++count;
            RC_ASSERT(static_cast<double>(count) <= rate);
        }
    }));
}

TEST(ColdStartLimiterTest, eachGenerationHasItsOwnCount)
{
    ColdStartLimiter limiter;
    limiter.countRequest("u/1", {});
    CHECK_FALSE(limiter.allows("u/1", 1, {}));
    CHECK_TRUE(limiter.allows("u/2", 1, {}));
}

TEST(ColdStartLimiterTest, aRemovedGenerationStartsWithAnEmptyCount)
{
    ColdStartLimiter limiter;
    limiter.countRequest("u/1", {});
    limiter.remove("u/1");
    CHECK_TRUE(limiter.allows("u/1", 1, {}));
}
