#include "../unusedport.h"

#include <agent/upstreammonitor.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

using namespace Agent;
using namespace std::chrono_literals;

namespace {

// Enough to fill the shortest queue of connections that were not accepted, and to keep it filled.
constexpr std::size_t fillingConnections = 8;

} // namespace

TEST_GROUP(UpstreamMonitorTest)
{
    asio::io_context context { 1 };
    asio::ip::tcp::endpoint endpoint { asio::ip::make_address("127.0.0.1"), unusedPort() };
    asio::ip::tcp::acceptor acceptor { this->context };
    std::vector<asio::ip::tcp::socket> connections;
    std::string answer;
    asio::streambuf received;
    Platform::HttpTransfers transfers { this->context };
    UpstreamClient client { this->transfers, "http://127.0.0.1:" + std::to_string(this->endpoint.port()) };
    int endedGenerations = 0;
    std::shared_ptr<UpstreamMonitor> monitor;

    void setup() override
    {
        this->acceptor.open(this->endpoint.protocol());
        this->acceptor.set_option(asio::socket_base::reuse_address(true));
        this->acceptor.bind(this->endpoint);
        this->acceptor.listen(0);
        this->monitor = std::make_shared<UpstreamMonitor>(this->context, this->client, 20ms,
            UpstreamMonitorHandlers { [this](const std::string&) { ++this->endedGenerations; }, [] {}, [] {} });
    }

    void teardown() override { this->monitor->stop(); }

    // Answers one status check and closes its connection.
    void answerOnce()
    {
        const std::string body = R"({"generation":"g"})";
        this->answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body;
        this->acceptor.async_accept([this](const asio::error_code&, asio::ip::tcp::socket socket) {
            this->connections.push_back(std::move(socket));
            asio::async_read_until(
                this->connections.back(), this->received, "\r\n\r\n", [this](const asio::error_code&, std::size_t) {
                    asio::write(this->connections.back(), asio::buffer(this->answer));
                    this->connections.back().close();
                });
        });
    }

    void fillQueue()
    {
        for (std::size_t i = 0; i < fillingConnections; ++i) {
            this->connections.emplace_back(this->context);
            this->connections.back().async_connect(this->endpoint, [](const asio::error_code&) {});
        }
    }

    template <typename Condition> bool runUntil(Condition condition, Foundation::Duration limit = 5s)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(5ms);
        return condition();
    }

    void startMonitor()
    {
        this->answerOnce();
        this->monitor->start();
        CHECK_TRUE(this->runUntil([this] { return this->monitor->generation() == "g"; }));
    }
};

TEST(UpstreamMonitorTest, aFrozenUpstreamThatAcceptsNoConnectionsHasNotEnded)
{
    this->connections.reserve(fillingConnections + 1);
    this->startMonitor();
    this->fillQueue();
    CHECK_TRUE(this->runUntil([this] { return this->monitor->health() == UpstreamHealth::Down; }));
    // Long enough for another check, which cannot connect.
    this->runUntil([] { return false; }, 1s);
    STRCMP_EQUAL("g", this->monitor->generation().c_str());
    LONGS_EQUAL(0, this->endedGenerations);
}

TEST(UpstreamMonitorTest, anUpstreamThatRefusesConnectionsHasEnded)
{
    this->startMonitor();
    this->acceptor.close();
    CHECK_TRUE(this->runUntil([this] { return this->endedGenerations == 1; }));
}
