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

constexpr auto patience = std::chrono::seconds(20);

/** A server and a client endpoint on one thread, and everything that the server received, in order. */
struct ConnectedEndpoints {
    asio::io_context context { 1 };
    std::vector<Message> received;
    std::vector<Message> receivedByClient;
    int opened = 0;
    int closed = 0;
    int clientClosed = 0;
    ServerEndpoint server { this->context,
        {
            [this](ConnectionId) { ++this->opened; },
            [this](ConnectionId sender, Message message) {
                if (const auto* const chunk = std::get_if<BodyChunk>(&message))
                    this->server.send(sender, BodyAcknowledgement { chunk->attempt, chunk->sequence + 1 });
                this->received.push_back(std::move(message));
            },
            [this](ConnectionId) { ++this->closed; },
        } };
    ClientEndpoint client { this->context,
        {
            [this](ConnectionId) { this->onClientOpen(); },
            [this](ConnectionId, Message message) {
                this->onClientMessage(message);
                this->receivedByClient.push_back(std::move(message));
            },
            [this](ConnectionId) { ++this->clientClosed; },
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
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(100));
        CHECK_TRUE(condition());
    }
};

// The number of chunks of a long body that arrive before a short offer sent right after the body was begun.
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
    endpoints.runUntil([&endpoints] { return endpoints.received.size() == messageCount; });
    std::size_t before = 0;
    while (std::holds_alternative<BodyChunk>(endpoints.received[before]))
        ++before;
    return before;
}

} // namespace

TEST_GROUP(Endpoint) {};

TEST(Endpoint, aLongBodyDoesNotStandBeforeAShortRequest)
{
    CHECK_TRUE(chunksBeforeOffer(Interleaving::On) <= bodyWindowChunks);
}

TEST(Endpoint, withoutInterleavingTheShortRequestWaitsForTheWholeBody)
{
    LONGS_EQUAL(64, chunksBeforeOffer(Interleaving::Off));
}

TEST(Endpoint, tellsBothSidesOfAClosedConnection)
{
    ConnectedEndpoints endpoints;
    bool isClientOpen = false;
    endpoints.onClientOpen = [&isClientOpen] { isClientOpen = true; };
    endpoints.connect();
    endpoints.runUntil([&] { return endpoints.opened == 1 && isClientOpen; });
    endpoints.client.close(endpoints.connection);
    endpoints.runUntil([&] { return endpoints.closed == 1 && endpoints.clientClosed == 1; });
    endpoints.client.send(endpoints.connection, Heartbeat {});
}

TEST(Endpoint, tellsOfAConnectionThatCannotBeMade)
{
    ConnectedEndpoints endpoints;
    endpoints.client.connect("127.0.0.1:" + std::to_string(unusedPort()));
    endpoints.runUntil([&] { return endpoints.clientClosed == 1; });
    LONGS_EQUAL(0, endpoints.client.connect("no address at all"));
}
