#include <crowdplacement.h>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(CrowdMembershipTest)
{
    Foundation::ManualClock clock;
    Foundation::MetricRegistry metrics;
    Gateway::CrowdPlacement crowds { this->clock, this->metrics, "gateway-7" };

    void setup() override { this->clock.advance(10s); }

    void place(int count)
    {
        Placement::PromptPlacement placement;
        placement.isCrowdPlacement = true;
        placement.partPrefillTime = 20ms;
        for (int i = 0; i < count; ++i)
            this->crowds.recordDispatch(placement);
    }
};

// Guards against gateways that have just started, and know only themselves, all filling the same engines.
TEST(CrowdMembershipTest, aGatewayThatKnowsNoMembersCountsOnOthers)
{
    this->crowds.setSeedCount(3);
    this->place(4);
    CHECK_FALSE(this->crowds.isMembershipKnown());
    const auto expected = this->crowds.expectation(12);
    CHECK_TRUE(expected.has_value());
    CHECK_TRUE(expected->arrivals.unreported.requests >= 4 * 12 - 1e-6);
}

// Guards against small fleets placing prompts as in a crowd for good.
TEST(CrowdMembershipTest, aSmallFleetDecidesAsInCalmOnceItIsKnown)
{
    this->crowds.setSeedCount(3);
    this->crowds.setProcesses(4, 1);
    CHECK_TRUE(this->crowds.expectation(12).has_value());
    this->clock.advance(1'100ms);
    CHECK_TRUE(this->crowds.isMembershipKnown());
    CHECK_FALSE(this->crowds.expectation(12).has_value());
    this->crowds.setProcesses(5, 1);
    CHECK_FALSE(this->crowds.isMembershipKnown());
    this->crowds.confirmMembership();
    CHECK_FALSE(this->crowds.expectation(12).has_value());
}

TEST(CrowdMembershipTest, aGatewayWithoutSeedsDoesNotWaitForOthers)
{
    CHECK_TRUE(this->crowds.isMembershipKnown());
    CHECK_FALSE(this->crowds.expectation(12).has_value());
}

// Guards against a sequence of draws that begins again with each hello, and so chooses the same engines again.
TEST(CrowdMembershipTest, theDrawsContinueWhenTheCountChanges)
{
    this->crowds.setSwitch(Foundation::FeatureSwitch::On);
    this->crowds.setProcesses(20, 5);
    DOUBLES_EQUAL(0.25, this->crowds.expectation(12)->draw, 1e-9);
    this->place(2);
    const double draw = this->crowds.expectation(12)->draw;
    this->crowds.setProcesses(27, 5);
    DOUBLES_EQUAL(draw, this->crowds.expectation(12)->draw, 1e-12);
}

// Guards against corrections in deployments that have switched crowd placement off, or that are too small for crowds.
TEST(CrowdMembershipTest, predictionsAreCorrectedOnlyWhereCrowdsAreRegarded)
{
    const auto measure = [this] {
        for (int i = 0; i < 3; ++i)
            this->crowds.recordFirstEvent("e", 150ms, 250ms);
    };
    measure();
    CHECK_TRUE(this->crowds.delayCorrection("e", 12) == 0ms);
    this->crowds.setProcesses(27, 3);
    CHECK_TRUE(this->crowds.delayCorrection("e", 12) == 100ms);
    this->clock.advance(2s);
    this->crowds.setSwitch(Foundation::FeatureSwitch::Off);
    measure();
    CHECK_TRUE(this->crowds.delayCorrection("e", 12) == 0ms);
}
