#include "gatewayfixture.h"

#include <optional>

using namespace GatewayTests;

/** A second gateway that has few sockets. */
TEST_GROUP_BASE(SocketSharesTest, GatewayFixture) {};

// Calls to upstreams took descriptors until the process could not accept or reach the store any more.
TEST(SocketSharesTest, aRequestWithoutRoomForItsUpstreamCallIsRefusedAtOnceAndServedLater)
{
    this->startGateway("app");
    GatewaySettings fewSockets = this->settings;
    fewSockets.node.name = "gateway-2";
    fewSockets.node.peerEndpoint = { "127.0.0.1", unusedPort() };
    fewSockets.node.maximumSockets = 10;
    const std::size_t maximumRequests = makeSocketShares({}, fewSockets.node.maximumSockets).requests;
    GatewayCore small(this->context, fewSockets);
    this->gatewayPort = unusedPort();
    Web::HttpServer callers(this->context, { "127.0.0.1", this->gatewayPort, 1 << 20 },
        [&small](const std::shared_ptr<Web::HttpExchange>& exchange) { small.serve(exchange); });
    callers.start(throwListenFailure(this->context));
    CHECK_TRUE(small.start().has_value());
    CHECK_TRUE(this->runUntil([&] { return small.isReady(); }));
    this->runFor(100ms);
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::NeverAnswer;
    std::vector<std::shared_ptr<Answer>> waiting;
    for (std::size_t i = 0; i < maximumRequests; ++i) {
        waiting.push_back(std::make_shared<Answer>());
        this->send("/unsafe/x", waiting.back(), "POST");
    }
    CHECK_TRUE(this->runUntil([&] { return this->startedRequestCount() == maximumRequests; }));
    const Answer refused = this->call("/safe/x");
    LONGS_EQUAL(503, refused.result.status);
    CHECK_FALSE(refused.header("Retry-After").empty());
    CHECK_EQUAL(maximumRequests, this->startedRequestCount());
    CHECK_TRUE(this->runUntil([&] { return waiting.back()->isFinished; }));
    this->upstreamOne.behaviour = this->upstreamTwo.behaviour = UpstreamBehaviour::Answer;
    LONGS_EQUAL(200, this->call("/safe/x").result.status);
}

TEST(SocketSharesTest, theSharesLeaveSocketsForTheStoreAndOtherGateways)
{
    for (const std::size_t sockets : { 200, 3'896, 3'900, 7'992 }) {
        const SocketShares shares = makeSocketShares({}, sockets);
        CHECK_TRUE(shares.callers > 0 && shares.requests > 0 && shares.requests <= shares.upstreams);
        CHECK_TRUE(shares.callers + shares.upstreams + 2 * shares.service <= sockets * 95 / 100);
    }
}
