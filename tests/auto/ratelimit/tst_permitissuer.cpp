#include <ratelimit/permitissuer.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace RateLimit;
using namespace std::chrono_literals;

TEST_GROUP(PermitIssuerTest)
{
    Foundation::ManualClock clock;
    PermitIssuer issuer { this->clock };

    void support(int gateways)
    {
        for (int i = 0; i < gateways; ++i)
            this->issuer.recordSupport("g" + std::to_string(i));
    }

    int countGranted(double limit, Foundation::Duration length, int supporters)
    {
        int granted = 0;
        for (Foundation::Duration passed {}; passed < length; passed += 10ms) {
            this->support(supporters);
            granted += this->issuer.request("u/1", limit, false).isGranted ? 1 : 0;
            this->clock.advance(10ms);
        }
        return granted;
    }
};

TEST(PermitIssuerTest, anIssuerOfMostGatewaysIssuesTheWholeLimit)
{
    this->issuer.setGatewayCount(10);
    const int granted = this->countGranted(2, 10s, 6);
    CHECK_TRUE(granted >= 19 && granted <= 21);
}

TEST(PermitIssuerTest, anIssuerOfFewGatewaysIssuesTheirPart)
{
    this->issuer.setGatewayCount(10);
    const int granted = this->countGranted(10, 10s, 3);
    CHECK_TRUE(granted >= 29 && granted <= 31);
}

TEST(PermitIssuerTest, supportThatIsNotRepeatedLapses)
{
    this->issuer.setGatewayCount(4);
    this->support(4);
    DOUBLES_EQUAL(1, this->issuer.usableFraction(), 0);
    this->clock.advance(1s);
    this->support(1);
    this->clock.advance(1s);
    DOUBLES_EQUAL(0.25, this->issuer.usableFraction(), 1e-9);
    this->issuer.withdrawSupport("g0");
    DOUBLES_EQUAL(0, this->issuer.usableFraction(), 1e-9);
}

TEST(PermitIssuerTest, aNewIssuerHasNothingToIssueAtOnce)
{
    this->support(1);
    CHECK_FALSE(this->issuer.request("u/1", 2, false).isGranted);
}

TEST(PermitIssuerTest, callersAreToldDifferentTimesAtWhichThereIsRoom)
{
    const auto askAll = [this](std::vector<Foundation::Duration> times) {
        int served = 0;
        Foundation::Duration passed {};
        for (const Foundation::Duration time : times) {
            this->clock.advance(time - passed);
            passed = time;
            this->support(1);
            served += this->issuer.request("u/1", 2, true).isGranted ? 1 : 0;
        }
        return served;
    };
    this->support(1);
    std::vector<Foundation::Duration> times;
    for (int i = 0; i < 5; ++i) {
        const PermitDecision decision = this->issuer.request("u/1", 2, true);
        CHECK_FALSE(decision.isGranted);
        times.push_back(decision.retryAfter + 1ms);
    }
    LONGS_EQUAL(5, askAll(times));
}

TEST(PermitIssuerTest, aReturnedPermitIsIssuedAgain)
{
    this->support(1);
    this->issuer.request("u/1", 2, false);
    this->clock.advance(600ms);
    CHECK_TRUE(this->issuer.request("u/1", 2, false).isGranted);
    CHECK_FALSE(this->issuer.request("u/1", 2, false).isGranted);
    this->issuer.giveBack("u/1");
    CHECK_TRUE(this->issuer.request("u/1", 2, false).isGranted);
}

TEST(PermitIssuerTest, noWindowHasMoreThanTheLimitAndTheCapacity)
{
    CHECK_TRUE(rc::check([] {
        Foundation::ManualClock ownClock;
        PermitIssuer own { ownClock };
        const double limit = *rc::gen::inRange(1, 200) / 10.0;
        const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 200));
        std::vector<Foundation::TimePoint> granted;
        for (const int step : steps) {
            ownClock.advance(std::chrono::milliseconds(step));
            own.recordSupport("g");
            if (own.request("u/1", limit, false).isGranted)
                granted.push_back(ownClock.now());
        }
        for (std::size_t i = 0; i < granted.size(); ++i) {
            std::size_t count = 0;
            for (std::size_t j = i; j < granted.size() && granted[j] - granted[i] < 4s; ++j)
                ++count;
            RC_ASSERT(static_cast<double>(count) <= 1.5 * 4 * limit + 5);
        }
    }));
}
