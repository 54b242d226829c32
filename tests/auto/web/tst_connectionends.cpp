#include "../unusedport.h"

#include <foundation/clock.h>
#include <web/httpserver.h>
#include <web/receiveguard.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

#include <sys/resource.h>

#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

constexpr auto testTimeout = std::chrono::seconds(10);
constexpr std::size_t fewConnections = 16;
constexpr std::size_t manyConnections = 100'000;

// Another seed can be set to search for longer.
std::uint64_t seed()
{
    const char* const text = std::getenv("BLUEBELL_TEST_SEED");
    return text ? std::stoull(text) : 54;
}

std::string bodyOf(const std::string& target) { return "body of " + target; }

std::string makeRequest(const std::string& target)
{
    const std::string body = bodyOf(target);
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

/** A server and callers that end their connections at any moment. */
template <std::size_t maximumConnections> class ConnectionEndFixture : public Utest {
protected:
    asio::io_context context { 1 };
    std::uint16_t port = unusedPort();
    Foundation::SteadyClock clock;
    std::shared_ptr<Web::ReceiveGuard> guard = std::make_shared<Web::ReceiveGuard>(
        Web::ReceiveLimits {}, Web::ReceiveMemory::Settings { 10'000'000, 1'000 }, this->clock);
    std::vector<std::shared_ptr<Web::HttpExchange>> exchanges;
    std::mt19937_64 random { seed() };
    bool hasWrongBody = false;
    /** Whether exchanges are answered in random ways when they arrive. */
    bool isRandom = false;
    Web::HttpServer server { this->context, { "127.0.0.1", this->port, 1'000'000, this->guard, maximumConnections },
        [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->handle(exchange); } };

    void setup() override
    {
        this->server.start([](const std::string& message) { FAIL(message.c_str()); });
        this->context.poll();
    }

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange)
    {
        this->hasWrongBody = this->hasWrongBody || exchange->request().body() != bodyOf(exchange->request().target);
        this->exchanges.push_back(exchange);
        switch (this->isRandom ? this->random() % 6 : 5) {
        case 0:
            exchange->abort();
            break;
        case 1:
            exchange->respond({ 200, "text/plain", {}, "answer", true });
            break;
        case 2:
            exchange->respond({ 200, "text/plain", {}, "answer" });
            break;
        case 3:
            exchange->beginStream({ 200, "text/plain" });
            exchange->write("part");
            break;
        case 4:
            exchange->beginStream({ 200, "text/plain" });
            exchange->finish();
            break;
        default:
            break;
        }
    }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(5));
        return condition();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket caller(this->context);
        caller.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        return caller;
    }

    static void reset(asio::ip::tcp::socket& caller)
    {
        caller.set_option(asio::socket_base::linger(true, 0));
        caller.close();
    }

    void endAll()
    {
        for (const auto& exchange : std::exchange(this->exchanges, {})) {
            exchange->respond({ 200, "text/plain", {}, "answer" });
            exchange->finish();
        }
    }

    bool isAnswered()
    {
        this->isRandom = false;
        this->endAll();
        asio::ip::tcp::socket caller = this->connect();
        asio::write(caller, asio::buffer(makeRequest("/ordinary")));
        const bool hasArrived = this->runUntil([this] { return !this->exchanges.empty(); });
        if (hasArrived)
            this->exchanges.back()->respond({ 200, "text/plain", {}, "answer" });
        return hasArrived;
    }
};

} // namespace

TEST_GROUP_BASE(ManyConnectionEndsTest, ConnectionEndFixture<manyConnections>) {};

TEST_GROUP_BASE(ConnectionEndTest, ConnectionEndFixture<fewConnections>) {};

// A read that had ended well was followed by another one on the closed socket, which ended the process.
TEST(ManyConnectionEndsTest, callersThatCutPipelineCloseAndResetAtRandomDoNoHarm)
{
    constexpr int connections = 4'000;
    this->isRandom = true;
    for (int i = 0; i < connections; ++i) {
        asio::ip::tcp::socket caller = this->connect();
        std::string bytes;
        const std::size_t requests = this->random() % 5;
        for (std::size_t n = 0; n < requests; ++n)
            bytes += makeRequest("/" + std::to_string(i) + "-" + std::to_string(n));
        if (this->random() % 2 == 0)
            bytes.resize(this->random() % (bytes.size() + 1));
        asio::error_code ignored;
        asio::write(caller, asio::buffer(bytes), ignored);
        for (std::size_t n = this->random() % 20; n > 0; --n)
            this->context.poll_one();
        if (this->random() % 2 == 0)
            this->reset(caller);
        else
            caller.close();
        for (std::size_t n = this->random() % 8; n > 0; --n)
            this->context.poll_one();
        if (!this->exchanges.empty() && this->random() % 2 == 0) {
            this->exchanges.front()->respond({ 200, "text/plain", {}, "answer" });
            this->exchanges.erase(this->exchanges.begin());
        }
    }
    CHECK_FALSE(this->hasWrongBody);
    CHECK_TRUE(this->isAnswered());
    // Requests behind unanswered ones arrive when these are answered.
    CHECK_TRUE(this->runUntil([this] {
        this->endAll();
        return this->guard->memory->heldBytes() == 0;
    }));
}

// Each such connection was counted for good, until no caller was accepted any more.
TEST(ConnectionEndTest, connectionsThatAreResetBeforeTheyAreAcceptedDoNotUseUpTheLimit)
{
    for (std::size_t i = 0; i < 2 * fewConnections; ++i) {
        asio::ip::tcp::socket caller = this->connect();
        this->reset(caller);
        this->context.poll();
    }
    CHECK_TRUE(this->isAnswered());
    CHECK_TRUE(this->server.canAccept());
}

// The first error ended accepting for good.
TEST(ConnectionEndTest, aServerWithoutDescriptorsAcceptsAgainLater)
{
    asio::ip::tcp::socket caller = this->connect();
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    const rlimit original = limit;
    // No number below this one is free for the accepted connection.
    limit.rlim_cur = static_cast<rlim_t>(caller.native_handle()) + 1;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
    while (std::chrono::steady_clock::now() < end)
        this->context.run_one_for(std::chrono::milliseconds(5));
    ::setrlimit(RLIMIT_NOFILE, &original);
    asio::write(caller, asio::buffer(makeRequest("/")));
    CHECK_TRUE(this->runUntil([this] { return !this->exchanges.empty(); }));
    CHECK_TRUE(this->isAnswered());
}

TEST(ConnectionEndTest, aFullServerSaysThatItCannotAcceptUntilAConnectionIsClosed)
{
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t i = 0; i < fewConnections; ++i) {
        callers.push_back(this->connect());
        asio::write(callers.back(), asio::buffer(makeRequest("/")));
    }
    CHECK_TRUE(this->runUntil([this] { return this->exchanges.size() == fewConnections; }));
    CHECK_TRUE(this->server.canAccept());
    asio::ip::tcp::socket waiting = this->connect();
    asio::write(waiting, asio::buffer(makeRequest("/")));
    CHECK_TRUE(this->runUntil([this] { return !this->server.canAccept(); }));
    callers.pop_back();
    CHECK_TRUE(this->runUntil([this] { return this->exchanges.size() == fewConnections + 1; }));
    CHECK_TRUE(this->server.canAccept());
}

// Idle connections kept ordinary callers out of a server that said it could accept them.
TEST(ConnectionEndTest, theLongestIdleConnectionOfAFullServerGivesWayToANewCaller)
{
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t i = 0; i < fewConnections; ++i) {
        callers.push_back(this->connect());
        this->context.run_for(std::chrono::milliseconds(2));
    }
    // The first one is busy, and the second one has sent an empty line, which is no request.
    asio::write(callers[0], asio::buffer(makeRequest("/")));
    CHECK_TRUE(this->runUntil([this] { return this->exchanges.size() == 1; }));
    asio::write(callers[1], asio::buffer(std::string("\r\n")));
    this->context.run_for(std::chrono::milliseconds(5));
    bool isClosed = false;
    char byte = 0;
    callers[1].async_read_some(
        asio::buffer(&byte, 1), [&](const asio::error_code& error, std::size_t) { isClosed = bool(error); });
    asio::ip::tcp::socket waiting = this->connect();
    asio::write(waiting, asio::buffer(makeRequest("/")));
    CHECK_TRUE(this->runUntil([this] { return this->exchanges.size() == 2; }));
    CHECK_TRUE(this->runUntil([&] { return isClosed; }));
    this->exchanges[0]->respond({ 200, "text/plain", {}, "answer" });
    std::string received;
    bool isAnswered = false;
    asio::async_read_until(callers[0], asio::dynamic_buffer(received), "answer",
        [&](const asio::error_code& error, std::size_t) { isAnswered = !error; });
    CHECK_TRUE(this->runUntil([&] { return isAnswered; }));
    LONGS_EQUAL(1, this->guard->refusals.count(Web::ClientRefusal::IdleConnection));
}

TEST(ConnectionEndTest, noIdleConnectionIsClosedWhileThereIsRoom)
{
    std::vector<asio::ip::tcp::socket> callers;
    for (std::size_t i = 0; i < fewConnections; ++i)
        callers.push_back(this->connect());
    this->context.run_for(std::chrono::milliseconds(50));
    LONGS_EQUAL(0, this->guard->refusals.count(Web::ClientRefusal::IdleConnection));
    asio::write(callers[0], asio::buffer(makeRequest("/")));
    CHECK_TRUE(this->runUntil([this] { return this->exchanges.size() == 1; }));
}
