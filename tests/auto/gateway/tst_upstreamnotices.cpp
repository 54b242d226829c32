#include "gatewayfixture.h"

#include <algorithm>

using namespace GatewayTests;

// What upstreams say of themselves in their answers.
TEST_GROUP_BASE(UpstreamNoticesTest, GatewayFixture) {
    /** Sends calls until the first upstream has had one, and then a few more. */
    void callBothUpstreams() {
        for (int i = 0; i < 40 && this->upstreamOne.startedRequests.empty() && this->upstreamOne.rejections == 0; ++i)
            LONGS_EQUAL(200, this->call("/safe/x").result.status);
for (int i = 0; i < 10; ++i)
    LONGS_EQUAL(200, this->call("/safe/x").result.status);
}
}
;

TEST(UpstreamNoticesTest, anUpstreamWhoseAnswerSaysThatItLeavesGetsNoFurtherRequests)
{
    this->startGateway("app");
    this->upstreamOne.saysLeaving = true;
    this->callBothUpstreams();
    UNSIGNED_LONGS_EQUAL(1, this->upstreamOne.startedRequests.size());
}

TEST(UpstreamNoticesTest, anUpstreamWhoseRejectionSaysThatItLeavesGetsNoFurtherRequests)
{
    this->startGateway("app");
    this->upstreamOne.saysLeaving = true;
    this->upstreamOne.behaviour = UpstreamBehaviour::Reject;
    this->callBothUpstreams();
    LONGS_EQUAL(1, this->upstreamOne.rejections);
}

TEST(UpstreamNoticesTest, anUpstreamThatSaysThatItLeavesIsNotUsedAgainWhenItsEntryComesBack)
{
    this->startGateway("app");
    this->upstreamOne.saysLeaving = true;
    this->callBothUpstreams();
    this->store.removeKey("keyed.servers", "one");
    this->runFor(700ms);
    this->store.put("keyed.servers", "one", this->upstreamOne.entry("app"));
    this->runFor(700ms);
    this->callBothUpstreams();
    UNSIGNED_LONGS_EQUAL(1, this->upstreamOne.startedRequests.size());
    this->upstreamOne.saysLeaving = false;
    this->upstreamOne.startedAtMs = 2;
    this->store.put("keyed.servers", "one", this->upstreamOne.entry("app"));
    CHECK_TRUE(this->runUntil([this] {
        this->call("/safe/x");
        return this->upstreamOne.startedRequests.size() > 1;
    }));
}

TEST(UpstreamNoticesTest, anUpstreamThatAsksForAPauseGetsNothingUntilItsEnd)
{
    this->startGateway("app");
    this->upstreamOne.behaviour = UpstreamBehaviour::Reject;
    this->upstreamOne.retryAfter = "1.5";
    this->callBothUpstreams();
    const auto pauseEnd = std::chrono::steady_clock::now() + 1'300ms;
    while (std::chrono::steady_clock::now() < pauseEnd) {
        LONGS_EQUAL(200, this->call("/safe/x").result.status);
        this->runFor(20ms);
    }
    LONGS_EQUAL(1, this->upstreamOne.rejections);
    this->upstreamOne.behaviour = UpstreamBehaviour::Answer;
    CHECK_TRUE(this->runUntil([this] {
        this->call("/safe/x");
        return !this->upstreamOne.startedRequests.empty();
    }));
}

TEST(UpstreamNoticesTest, callersAreToldToComeBackWhenThePauseOfAllUpstreamsIsOver)
{
    this->startGateway("app");
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::Reject;
    this->upstreamOne.retryAfter = "3";
    this->upstreamTwo.retryAfter = "5";
    LONGS_EQUAL(503, this->call("/safe/x").result.status);
    const Answer answer = this->call("/safe/x");
    LONGS_EQUAL(503, answer.result.status);
    LONGS_EQUAL(2, this->upstreamOne.rejections + this->upstreamTwo.rejections);
    const double retryAfter = std::stod(answer.header("Retry-After"));
    CHECK_TRUE(retryAfter > 2 && retryAfter < 4.5);
}

TEST(UpstreamNoticesTest, failoversOfManyRequestsDoNotReachUpstreamsThatAskForAPause)
{
    this->startGateway("llm");
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::Reject;
    this->upstreamOne.retryAfter = this->upstreamTwo.retryAfter = "3";
    LONGS_EQUAL(503, this->call("/stream/x", "POST").result.status);
    const auto toldAt = std::chrono::steady_clock::now();
    std::vector<std::shared_ptr<Answer>> answers;
    while (std::chrono::steady_clock::now() < toldAt + 2'500ms) {
        for (const char* const path : { "/stream/x", "/lasting/x" }) {
            answers.push_back(std::make_shared<Answer>());
            this->send(path, answers.back(), "POST");
        }
        this->runFor(20ms);
    }
    CHECK_TRUE(this->runUntil([&] { return std::ranges::all_of(answers, &Answer::isFinished); }));
    // The users allow two requests from half a second after the rejection to the end of the pause.
    for (const StandinUpstream* const upstream : { &this->upstreamOne, &this->upstreamTwo })
        CHECK_TRUE(std::ranges::count_if(upstream->arrivals, [toldAt](auto at) { return at >= toldAt + 500ms; }) <= 2);
}

TEST(UpstreamNoticesTest, promptsAreNotSentToEnginesThatAskForAPause)
{
    this->startGateway("llm");
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::Reject;
    this->upstreamOne.retryAfter = this->upstreamTwo.retryAfter = "3";
    for (int i = 0; i < 3; ++i)
        LONGS_EQUAL(503, this->call("/stream/x", "POST").result.status);
    LONGS_EQUAL(2, this->upstreamOne.rejections + this->upstreamTwo.rejections);
}
