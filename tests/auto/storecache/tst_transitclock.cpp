#include <storecache/transitclock.h>

#include <CppUTest/TestHarness.h>

using namespace StoreCache;
using namespace std::chrono_literals;

TEST_GROUP(TransitClockTest)
{
    // The sender's clock is 40 minutes behind.
    const Foundation::TimePoint sent { 20min };
    const Foundation::TimePoint received { 1h };
    TransitClock transits;
};

// Guards against messages that are taken as new although they were read long after they were sent.
TEST(TransitClockTest, aMessageThatIsReadLateIsAsOldAsItIs)
{
    CHECK_FALSE(this->transits.record("peer", this->sent, this->received + 5ms).has_value());
    CHECK_TRUE(this->transits.record("peer", this->sent + 1s, this->received + 1s) == this->received + 1s);
    const auto late = this->transits.record("peer", this->sent + 2s, this->received + 12s);
    CHECK_TRUE(late >= this->received + 2s && late < this->received + 2'010ms);
    const auto next = this->transits.record("peer", this->sent + 12s, this->received + 12s);
    CHECK_TRUE(next == this->received + 12s);
}

TEST(TransitClockTest, aFirstMessageThatWasReadLateDoesNotSpoilTheNextOnes)
{
    this->transits.record("peer", this->sent, this->received + 10s);
    CHECK_TRUE(this->transits.record("peer", this->sent + 10s, this->received + 10s) == this->received + 10s);
    const auto late = this->transits.record("peer", this->sent + 11s, this->received + 20s);
    CHECK_TRUE(late < this->received + 11'010ms);
}

TEST(TransitClockTest, clocksThatDriftApartDoNotMakeMessagesOld)
{
    Foundation::Duration drift {};
    for (auto time = 0s; time < 24h; time += 10s) {
        drift += 1ms;
        const auto known = this->transits.record("peer", this->sent + time, this->received + time + drift);
        CHECK_TRUE(!known || *known == this->received + time + drift);
    }
}

TEST(TransitClockTest, theNumberOfSendersIsBounded)
{
    for (int i = 0; i < 5'000; ++i)
        this->transits.record(std::to_string(i), this->sent, this->received + i * 1ms);
    CHECK_FALSE(this->transits.record("0", this->sent, this->received).has_value());
    CHECK_TRUE(this->transits.record("4999", this->sent, this->received + 5s).has_value());
}
