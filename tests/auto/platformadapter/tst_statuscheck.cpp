#include "platform/statuscheck.h"

#include <CppUTest/TestHarness.h>

using namespace PlatformAdapter;

namespace {

Platform::HttpCallResult makeResult(Platform::CallOutcome outcome, int status, const std::string& body)
{
    Platform::HttpCallResult result;
    result.outcome = outcome;
    result.status = status;
    result.body = body;
    return result;
}

} // namespace

TEST_GROUP(StatusCheckTest) {};

TEST(StatusCheckTest, anUpstreamThatReportsAnswersForItsGeneration)
{
    CHECK_TRUE(isAnsweredBy(makeResult(Platform::CallOutcome::Complete, 200, R"({"born":7})"), "i-1", "i-1/7"));
    CHECK_TRUE(isAnsweredBy(makeResult(Platform::CallOutcome::Complete, 200, R"({"busy":false})"), "i-1", "i-1/7"));
    CHECK_TRUE(isAnsweredBy(makeResult(Platform::CallOutcome::Complete, 200, "{"), "i-1", "i-1/7"));
}

TEST(StatusCheckTest, aRestartedUpstreamDoesNotAnswerForItsLastGeneration)
{
    CHECK_FALSE(isAnsweredBy(makeResult(Platform::CallOutcome::Complete, 200, R"({"born":8})"), "i-1", "i-1/7"));
}

TEST(StatusCheckTest, anotherUpstreamAtTheAddressDoesNotAnswerForIt)
{
    CHECK_FALSE(isAnsweredBy(makeResult(Platform::CallOutcome::Complete, 421, ""), "i-1", "i-1/7"));
}

TEST(StatusCheckTest, aCallWithoutAWholeAnswerProvesNothing)
{
    CHECK_FALSE(isAnsweredBy(makeResult(Platform::CallOutcome::Broken, 200, ""), "i-1", "i-1/7"));
    CHECK_FALSE(isAnsweredBy(makeResult(Platform::CallOutcome::NotConnected, 0, ""), "i-1", "i-1/7"));
}

TEST(StatusCheckTest, theCallNamesTheUpstream)
{
    const Platform::HttpCall call = makeStatusCheck("127.0.0.1:81", "i-1");
    STRCMP_EQUAL("http://127.0.0.1:81/report", call.url.c_str());
    STRCMP_EQUAL("GET", call.method.c_str());
    STRCMP_EQUAL("X-Expect-Instance: i-1", call.headers.at(0).c_str());
}
