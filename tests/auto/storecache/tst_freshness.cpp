#include <storecache/freshness.h>

#include <CppUTest/TestHarness.h>

using namespace StoreCache;
using namespace std::chrono_literals;

TEST_GROUP(FreshnessTest) {};

TEST(FreshnessTest, ageIsMeasuredFromTheLatestRecordedTime)
{
    Freshness freshness;
    const Foundation::TimePoint start {};
    CHECK_FALSE(freshness.age(start).has_value());
    freshness.recordCurrentAsOf(start + 5s);
    freshness.recordCurrentAsOf(start + 3s);
    CHECK_TRUE(freshness.age(start + 7s) == 2s);
}
