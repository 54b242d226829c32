#include <storecache/startcheck.h>

#include <CppUTest/TestHarness.h>

using namespace StoreCache;
using namespace std::chrono_literals;

TEST_GROUP(StartCheckTest)
{
    const Foundation::TimePoint start { 1h };
    StartCheck check { 2'500ms };
};

// Guards against fleets that become ready late after a loss of all gateways.
TEST(StartCheckTest, anOrdinaryStartDoesNotWait)
{
    this->check.recordRead(this->start);
    CHECK_FALSE(this->check.isCurrent(this->start));
    StartCheck restarted = this->check;
    restarted.recordListing(4, 4, true);
    CHECK_TRUE(restarted.isCurrent(this->start));
    StartCheck first = this->check;
    first.recordListing(1, 0, false);
    CHECK_TRUE(first.isCurrent(this->start));
    StartCheck withoutEras = this->check;
    withoutEras.recordListing(0, 0, true);
    CHECK_TRUE(withoutEras.isCurrent(this->start));
}

TEST(StartCheckTest, aStartInAnEraThatIsNotKnownAsSettledWaitsForTheWriters)
{
    this->check.recordListing(5, 4, true);
    CHECK_TRUE(this->check.isWaiting(this->start + 10s));
    this->check.recordRead(this->start);
    this->check.recordRead(this->start + 2s);
    CHECK_FALSE(this->check.isCurrent(this->start + 2'499ms));
    CHECK_TRUE(this->check.isCurrent(this->start + 2'500ms));
}

TEST(StartCheckTest, aListThatIsEmptyInALaterEraMayBeThatOfACopy)
{
    this->check.recordRead(this->start);
    this->check.recordListing(2, 0, false);
    CHECK_FALSE(this->check.isCurrent(this->start));
    this->check.recordSettled();
    CHECK_TRUE(this->check.isCurrent(this->start));
}
