#include <foundation/identifier.h>
#include <foundation/metrics.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace Foundation;

TEST_GROUP(Metrics) {};

TEST(Metrics, rendersACounterForEachRefusalReason)
{
    MetricRegistry metrics;
    metrics.countRefusal(ResultCode::QueueFull);
    metrics.countRefusal(ResultCode::QueueFull);
    metrics.countRetry(ResultCode::TakenOut);
    const std::string text = metrics.render();
    CHECK_TRUE(text.find("bluebell_refusals_total{reason=\"QueueFull\"} 2\n") != std::string::npos);
    CHECK_TRUE(text.find("bluebell_retries_total{reason=\"TakenOut\"} 1\n") != std::string::npos);
}

TEST(Metrics, rendersQuantilesOfADistribution)
{
    MetricRegistry metrics;
    for (int i = 1; i <= 1000; ++i)
        metrics.observe("latency", "class=\"short\"", i);
    const std::string text = metrics.render();
    CHECK_TRUE(text.find("latency_count{class=\"short\"} 1000") != std::string::npos);
    CHECK_TRUE(text.find("quantile=\"0.95\"") != std::string::npos);
}

TEST(Metrics, jitterStaysWithinAQuarterOfTheValue)
{
    for (int i = 0; i < 1000; ++i) {
        const auto value = jittered(1000);
        CHECK_TRUE(value >= 750 && value <= 1250);
    }
    LONGS_EQUAL(1, jittered(0));
}
