#include <load/answerreader.h>
#include <load/loadreport.h>
#include <load/svgplot.h>
#include <load/workload.h>
#include <standin/engineanswer.h>

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace Load;

namespace {

Workload mixedWorkload(std::uint64_t seed)
{
    Workload workload;
    workload.classes = namedMix("studio");
    workload.accounts = { { "a", "k", 1 } };
    workload.model = "m";
    workload.service = "s";
    workload.requestsPerSecond = 100;
    workload.seconds = 2;
    workload.seed = seed;
    return workload;
}

} // namespace

TEST_GROUP(LoadParts) {};

TEST(LoadParts, theSameSeedGivesTheSamePlan)
{
    const auto first = planRequests(mixedWorkload(7));
    const auto second = planRequests(mixedWorkload(7));
    const auto other = planRequests(mixedWorkload(8));
    CHECK_TRUE(first.size() > 120 && first.size() < 280);
    LONGS_EQUAL(first.size(), second.size());
    CHECK_TRUE(first[10].body == second[10].body && first[10].sendAtUs == second[10].sendAtUs);
    CHECK_TRUE(first[10].sendAtUs != other[10].sendAtUs);
}

TEST(LoadParts, promptBodyHasTheRequestedLength) { LONGS_EQUAL(4'000, promptBody("m", "x", 1'000, 16).size()); }

TEST(LoadParts, distinguishesCompleteIncompleteAndFailedAnswers)
{
    const std::string body = promptBody("m", "x", 100, 3);
    std::string data;
    for (int i = 0; i < 3; ++i)
        data += Standin::tokenEvent(Standin::tokenText(1, i));
    CHECK_FALSE(parseStreamedAnswer(data).isComplete);
    data += Standin::endEvents(100, 3);
    CHECK_TRUE(parseStreamedAnswer(data).isComplete);
    const auto error = parseStreamedAnswer("data: {\"error\":{\"code\":3003,\"outcome\":\"may-have-run\"}}\n");
    LONGS_EQUAL(3003, error.errorCode);
    CHECK_FALSE(error.isComplete);
}

TEST(LoadParts, computesPercentiles)
{
    std::vector<double> values;
    for (int i = 1; i <= 100; ++i)
        values.push_back(i);
    DOUBLES_EQUAL(50, percentile(values, 0.5), 0);
    DOUBLES_EQUAL(95, percentile(values, 0.95), 0);
    DOUBLES_EQUAL(0, percentile({}, 0.5), 0);
}

TEST(LoadParts, rendersAPlot)
{
    const std::vector<PlotLine> lines = { { "x", { 1, 0.5, 1 } } };
    CHECK_TRUE(renderSvgPlot("t", "y", lines).find("<polyline") != std::string::npos);
}
