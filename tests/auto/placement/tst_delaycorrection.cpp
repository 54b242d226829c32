#include <placement/delaycorrection.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>

using namespace Placement;
using namespace std::chrono_literals;

TEST_GROUP(DelayCorrectionTest)
{
    Foundation::ManualClock clock;
    DelayCorrection correction { this->clock };

    void setup() override { this->clock.advance(10s); }

    /** Plays first events that come later than predicted by a delay, at different engines, one in every 30 ms. */
    void play(int count, Foundation::Duration delay)
    {
        for (int i = 0; i < count; ++i) {
            this->clock.advance(30ms);
            this->correction.record("e" + std::to_string(i % 10), 150ms, 150ms + delay);
        }
    }
};

// Guards against a correction that comes when the crowd has passed.
TEST(DelayCorrectionTest, aDelayIsLearntWithinTenthsOfASecond)
{
    this->play(30, 0ms);
    CHECK_TRUE(this->correction.fleetDelay() == 0ms);
    this->play(8, 120ms);
    CHECK_TRUE(this->correction.fleetDelay() == 120ms);
    this->play(8, 0ms);
    CHECK_TRUE(this->correction.fleetDelay() == 0ms);
}

TEST(DelayCorrectionTest, itDecaysWithinASecondWhenNothingIsMeasured)
{
    this->play(10, 120ms);
    this->clock.advance(600ms);
    const auto later = this->correction.fleetDelay();
    CHECK_TRUE(later > 50ms && later < 70ms);
    this->clock.advance(400ms);
    CHECK_TRUE(this->correction.fleetDelay() == 0ms);
    CHECK_TRUE(this->correction.delayAt("e1") == 0ms);
}

// Guards against a single request that was held up changing the predictions of all engines, or of its own.
TEST(DelayCorrectionTest, singleOutliersDoNotMoveIt)
{
    this->play(1, 3s);
    CHECK_TRUE(this->correction.fleetDelay() == 0ms);
    this->play(10, 20ms);
    this->correction.record("e3", 150ms, 4s);
    this->correction.record("e4", 150ms, 4s);
    CHECK_TRUE(this->correction.fleetDelay() == 20ms);
    CHECK_TRUE(this->correction.delayAt("e3") == 20ms);
}

TEST(DelayCorrectionTest, anEngineWithItsOwnMeasurementsIsCorrectedByThem)
{
    this->play(13, 20ms);
    for (int i = 0; i < 3; ++i)
        this->correction.record("slow", 150ms, 450ms);
    CHECK_TRUE(this->correction.delayAt("slow") == 300ms);
    CHECK_TRUE(this->correction.delayAt("other") == 20ms);
}

// Guards against predictions below the model's, which would overfill engines that answered early.
TEST(DelayCorrectionTest, aPredictionIsNeverMadeShorter)
{
    CHECK_TRUE(rc::check([this] {
        for (const int lateness : *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(-140, 400))) {
            this->clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
            this->correction.record("e", 150ms, 150ms + std::chrono::milliseconds(lateness));
            RC_ASSERT(this->correction.fleetDelay() >= 0ms);
            RC_ASSERT(this->correction.delayAt("e") >= 0ms);
            RC_ASSERT(this->correction.delayAt("e") <= 400ms);
        }
    }));
}
