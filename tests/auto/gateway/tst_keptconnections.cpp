#include "gatewayfixture.h"
#include "repeatingupstream.h"

using namespace GatewayTests;

// Upstreams that write a second copy of an earlier answer on a connection that is in use again.
TEST_GROUP_BASE(KeptConnectionsTest, GatewayFixture)
{
    RepeatingUpstream upstreamThree { this->context, "three" };
    RepeatingUpstream upstreamFour { this->context, "four" };

    /** Starts the gateway with repeating upstreams only. */
    void startWith(const std::string& service, bool hasFour = false)
    {
        this->store.put("keyed.op", "config", this->document);
        this->store.put("keyed.servers", "three", this->upstreamThree.entry(service));
        if (hasFour)
            this->store.put("keyed.servers", "four", this->upstreamFour.entry(service));
        CHECK_TRUE(this->core.start().has_value());
        CHECK_TRUE(this->runUntil([this] { return this->core.isReady(); }));
        this->runFor(100ms);
    }

    /** Lets a request be rejected, and returns the answer to the next one, before which the rejection is repeated. */
    Answer callAfterRejection()
    {
        this->upstreamThree.rejects = true;
        LONGS_EQUAL(503, this->call("/safe/x").result.status);
        this->upstreamThree.rejects = false;
        return this->call("/safe/x");
    }
};

TEST(KeptConnectionsTest, aCallThatRanIsNotRefusedBecauseOfASecondCopyOfARejection)
{
    this->startWith("app");
    const Answer answer = this->callAfterRejection();
    LONGS_EQUAL(502, answer.result.status);
    CHECK_TRUE(answer.header("Retry-After").empty());
    LONGS_EQUAL(1, this->upstreamThree.runs);
    LONGS_EQUAL(200, this->call("/safe/x").result.status);
}

TEST(KeptConnectionsTest, aSecondCopyOfARejectionThatNamesItsRequestIsNotTakenForTheNextOne)
{
    this->startWith("app");
    this->upstreamThree.namesRejectedRequest = true;
    LONGS_EQUAL(502, this->callAfterRejection().result.status);
    LONGS_EQUAL(200, this->call("/safe/x").result.status);
}

TEST(KeptConnectionsTest, aSecondCopyOfAnAnswerIsNotDeliveredToTheNextCaller)
{
    this->startWith("app");
    LONGS_EQUAL(200, this->call("/safe/x").result.status);
    LONGS_EQUAL(502, this->call("/safe/x").result.status);
    const Answer third = this->call("/safe/x");
    LONGS_EQUAL(200, third.result.status);
    STRCMP_EQUAL("r3", third.header("X-Attempt-Id").c_str());
}

TEST(KeptConnectionsTest, aSecondCopyOfARejectionOfTheSameRequestDoesNotMakeItRunElsewhere)
{
    this->startWith("llm", /* hasFour */ true);
    this->promptTokens = 30'000;
    for (RepeatingUpstream* const upstream : { &this->upstreamThree, &this->upstreamFour })
        upstream->blamesHelpers = upstream->namesRejectedRequest = true;
    LONGS_EQUAL(200, this->call("/stream/x", "POST").result.status);
    LONGS_EQUAL(1, this->upstreamThree.runs + this->upstreamFour.runs);
}
