#include <placement/arrivalestimator.h>
#include <placement/loadledger.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace Placement;
using namespace std::chrono_literals;

TEST_GROUP(ArrivalEstimatorTest)
{
    Foundation::ManualClock clock;
    ArrivalEstimator estimator { this->clock };

    /** Lets this process, and some of the other gateways, dispatch a prompt in every 20 ms for a second. */
    void dispatch(std::size_t peers)
    {
        for (int i = 0; i < 50; ++i) {
            this->clock.advance(20ms);
            this->estimator.recordOwn({ 1, 0.03 });
            for (std::size_t peer = 0; peer < peers; ++peer)
                this->estimator.recordPeer(std::to_string(peer), { 1, 0.03 });
        }
    }
};

// Guards against gateways that have just restarted taking the others to be idle.
TEST(ArrivalEstimatorTest, withoutUpdatesTheOthersDispatchAsMuchAsThisProcess)
{
    this->estimator.setProcessCount(27);
    this->dispatch(0);
    const ArrivalEstimate estimate = this->estimator.estimate();
    CHECK_TRUE(estimate.perSecond.requests > 0.9 * 27 * 50 && estimate.perSecond.requests < 1.1 * 27 * 50);
    CHECK_TRUE(estimate.unreported.requests > 26 * 50 * 0.25);
}

TEST(ArrivalEstimatorTest, theUnreportedWorkFollowsFromTheRateAndTheAgeOfUpdates)
{
    this->estimator.setProcessCount(27);
    this->dispatch(26);
    const ArrivalEstimate fresh = this->estimator.estimate();
    // 1,300 prompts per second of the others, unreported for 40 ms.
    CHECK_TRUE(fresh.unreported.requests > 0.9 * 52 && fresh.unreported.requests < 1.1 * 52);
    CHECK_TRUE(fresh.unreported.prefillSeconds > 0.9 * 1.56 && fresh.unreported.prefillSeconds < 1.1 * 1.56);
    this->clock.advance(60ms);
    CHECK_TRUE(this->estimator.estimate().unreported.requests > 1.8 * fresh.unreported.requests);
    this->clock.advance(3s);
    CHECK_TRUE(this->estimator.estimate().unreported.requests < 1);
}

// A part of the gateways is partitioned away, but goes on to dispatch to the same engines.
TEST(ArrivalEstimatorTest, gatewaysThatAreNotHeardCountLikeTheOthers)
{
    this->estimator.setProcessCount(27);
    this->dispatch(13);
    const double unreported = this->estimator.estimate().unreported.requests;
    CHECK_TRUE(unreported > 0.9 * 52 && unreported < 1.1 * 52);
}

// Guards against a reconnected gateway whose complete load would look like a crowd.
TEST(ArrivalEstimatorTest, theFirstCompleteLoadOfAGatewayIsNotAnArrival)
{
    LoadLedger ledger(this->clock);
    UpstreamUsage usage { "e", 30'000, 1, 5'600, {}, 30'000 };
    usage.streamsByGapMs[250] = { 1, 1'600 };
    const std::vector<UpstreamUsage> first { usage };
    CHECK_TRUE(ledger.setPeerUsage("g", first, true).requests == 0);
    usage.prefillUs += 30'000;
    usage.streamsByGapMs[250].count = 3;
    const std::vector<UpstreamUsage> second { usage };
    const DispatchedWork work = ledger.setPeerUsage("g", second, false);
    DOUBLES_EQUAL(2, work.requests, 1e-9);
    DOUBLES_EQUAL(0.03, work.prefillSeconds, 1e-9);
    const std::vector<UpstreamUsage> newPeer { usage };
    CHECK_TRUE(ledger.setPeerUsage("h", newPeer, false).requests == 3);
}
