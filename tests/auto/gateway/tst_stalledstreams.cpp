#include "gatewayfixture.h"

using namespace GatewayTests;

// Streams whose upstream sends bytes that never complete an event.
TEST_GROUP_BASE(StalledStreamsTest, GatewayFixture) {};

TEST(StalledStreamsTest, aStreamThatOnlyReceivesBytesNowAndThenIsResumedElsewhere)
{
    this->startGateway("llm");
    this->callerTimeout = 4'500ms;
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::TrickleMidStream;
    const auto answer = std::make_shared<Answer>();
    this->send("/lasting/x", answer, "POST");
    CHECK_TRUE(this->runUntil([this] { return this->startedRequestCount() == 1; }));
    this->otherUpstream().behaviour = UpstreamBehaviour::Answer;
    CHECK_TRUE(this->runUntil([&] { return answer->isFinished; }));
    CHECK_TRUE(answer->result.outcome == Platform::CallOutcome::Complete);
    STRCMP_CONTAINS("id: 5\n", answer->body.c_str());
    UNSIGNED_LONGS_EQUAL(2, this->startedRequestCount());
}

TEST(StalledStreamsTest, aStreamThatOnlyReceivesBytesNowAndThenEndsAtItsDeadline)
{
    this->startGateway("llm");
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::TrickleMidStream;
    const auto start = std::chrono::steady_clock::now();
    const Answer answer = this->call("/stream/x", "POST");
    CHECK_TRUE(answer.result.outcome == Platform::CallOutcome::Broken);
    CHECK_TRUE(std::chrono::steady_clock::now() - start < 2'500ms);
}
