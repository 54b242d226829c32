#include "../unusedport.h"

#include <wire/bodysender.h>
#include <wire/endpoint.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Wire;

namespace {

constexpr auto testTimeout = std::chrono::seconds(20);

/** A server and a client endpoint on one thread. Records the messages that each receives, in order. */
struct ConnectedEndpoints {
    asio::io_context context { 1 };
    std::vector<Message> receivedByServer;
    std::vector<Message> receivedByClient;
    int serverOpenCount = 0;
    int serverCloseCount = 0;
    int clientCloseCount = 0;
    ServerEndpoint server { this->context,
        {
            [this](ConnectionId) { ++this->serverOpenCount; },
            [this](ConnectionId sender, Message message) {
                if (const auto* const chunk = std::get_if<BodyChunk>(&message))
                    this->server.send(sender, BodyAcknowledgement { chunk->attempt, chunk->sequence + 1 });
                this->receivedByServer.push_back(std::move(message));
            },
            [this](ConnectionId) { ++this->serverCloseCount; },
        } };
    ClientEndpoint client { this->context,
        {
            [this](ConnectionId) { this->onClientOpen(); },
            [this](ConnectionId, Message message) {
                this->onClientMessage(message);
                this->receivedByClient.push_back(std::move(message));
            },
            [this](ConnectionId) { ++this->clientCloseCount; },
        } };
    std::function<void()> onClientOpen = [] {};
    std::function<void(const Message&)> onClientMessage = [](const Message&) {};
    ConnectionId connection = 0;

    void connect()
    {
        const std::uint16_t port = unusedPort();
        CHECK_TRUE(this->server.listen("127.0.0.1", port).has_value());
        this->connection = this->client.connect("127.0.0.1:" + std::to_string(port));
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(100));
        CHECK_TRUE(condition());
    }
};

// Starts to send a long body and then sends a short offer. Returns the number of chunks that arrive before the offer.
std::size_t chunksBeforeOffer(Interleaving interleaving)
{
    ConnectedEndpoints endpoints;
    constexpr std::size_t bodyBytes = 4 * 1024 * 1024;
    BodySender sender("long", std::make_shared<const std::string>(bodyBytes, 'x'), interleaving);
    const auto send = [&endpoints](const BodyChunk& chunk) { endpoints.client.send(endpoints.connection, chunk); };
    endpoints.onClientOpen = [&] {
        sender.advance(0, send);
        Offer offer;
        offer.attempt = "short";
        endpoints.client.send(endpoints.connection, offer);
    };
    endpoints.onClientMessage = [&](const Message& message) {
        if (const auto* const acknowledgement = std::get_if<BodyAcknowledgement>(&message))
            sender.advance(acknowledgement->received, send);
    };
    endpoints.connect();
    constexpr std::size_t messageCount = bodyBytes / maximumChunkBytes + 1;
    endpoints.runUntil([&endpoints] { return endpoints.receivedByServer.size() == messageCount; });
    std::size_t before = 0;
    while (std::holds_alternative<BodyChunk>(endpoints.receivedByServer[before]))
        ++before;
    return before;
}

} // namespace

TEST_GROUP(Endpoint) {};

TEST(Endpoint, aLongBodyDoesNotDelayAShortRequest)
{
    CHECK_TRUE(chunksBeforeOffer(Interleaving::On) <= bodyWindowChunks);
}

TEST(Endpoint, withoutInterleavingAShortRequestWaitsForTheWholeBody)
{
    LONGS_EQUAL(64, chunksBeforeOffer(Interleaving::Off));
}

TEST(Endpoint, reportsAClosedConnectionToBothSides)
{
    ConnectedEndpoints endpoints;
    bool isClientOpen = false;
    endpoints.onClientOpen = [&isClientOpen] { isClientOpen = true; };
    endpoints.connect();
    endpoints.runUntil([&] { return endpoints.serverOpenCount == 1 && isClientOpen; });
    endpoints.client.close(endpoints.connection);
    endpoints.runUntil([&] { return endpoints.serverCloseCount == 1 && endpoints.clientCloseCount == 1; });
    endpoints.client.send(endpoints.connection, Heartbeat {});
}

TEST(Endpoint, reportsAFailedConnectionAttempt)
{
    ConnectedEndpoints endpoints;
    endpoints.client.connect("127.0.0.1:" + std::to_string(unusedPort()));
    endpoints.runUntil([&] { return endpoints.clientCloseCount == 1; });
    LONGS_EQUAL(0, endpoints.client.connect("no address at all"));
}
