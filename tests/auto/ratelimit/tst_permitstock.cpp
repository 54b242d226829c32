#include <ratelimit/permitstock.h>

#include <CppUTest/TestHarness.h>

using namespace RateLimit;
using namespace std::chrono_literals;

TEST_GROUP(PermitStockTest)
{
    Foundation::ManualClock clock;
    PermitStock stock { this->clock };
};

TEST(PermitStockTest, aPermitAllowsOneRequest)
{
    this->stock.add("u/1", this->clock.now() + 1s);
    CHECK_FALSE(this->stock.has("u/2"));
    CHECK_TRUE(this->stock.tryTake("u/1"));
    CHECK_FALSE(this->stock.tryTake("u/1"));
}

TEST(PermitStockTest, aPermitThatHasRunOutIsNotUsedButReturned)
{
    this->stock.add("u/1", this->clock.now() + 1s);
    this->clock.advance(1s);
    CHECK_FALSE(this->stock.has("u/1"));
    CHECK_FALSE(this->stock.tryTake("u/1"));
    const std::vector<std::string> expired = this->stock.takeExpired();
    UNSIGNED_LONGS_EQUAL(1, expired.size());
    CHECK_TRUE(this->stock.takeExpired().empty());
}
