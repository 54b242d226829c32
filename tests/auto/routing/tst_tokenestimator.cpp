#include <routing/tokenestimator.h>

#include <CppUTest/TestHarness.h>

using namespace Routing;

TEST_GROUP(TokenEstimator) {};

TEST(TokenEstimator, followsTheReportedUsage)
{
    TokenEstimator estimator(4);
    LONGS_EQUAL(250, estimator.estimate(1'000));
    for (int i = 0; i < 500; ++i)
        estimator.recordUsage(1'000, 500);
    CHECK_TRUE(estimator.estimate(1'000) >= 495);
}

TEST(TokenEstimator, clampsImplausibleReports)
{
    TokenEstimator estimator(4);
    for (int i = 0; i < 500; ++i)
        estimator.recordUsage(1'000'000, 1);
    CHECK_TRUE(estimator.estimate(16'000) >= 1'000);
    estimator.recordUsage(1'000, 0);
    LONGS_EQUAL(1, estimator.estimate(0));
}
