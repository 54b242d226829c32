#include "../unusedport.h"

#include <web/httpserver.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

#include <memory>
#include <string>
#include <vector>

namespace {

constexpr auto testTimeout = std::chrono::seconds(5);
constexpr const char* request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

/** A server that keeps its exchanges open, and a caller that keeps its connection. */
TEST_GROUP(HttpServerTest)
{
    asio::io_context context { 1 };
    std::uint16_t port = unusedPort();
    std::vector<std::shared_ptr<Web::HttpExchange>> exchanges;
    Web::HttpServer server { this->context, { "127.0.0.1", this->port, 1'000'000 },
        [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->exchanges.push_back(exchange); } };
    asio::ip::tcp::socket caller { this->context };
    std::string received;

    void setup() override
    {
        this->server.start([](const std::string&) {});
        this->runUntil([this] {
            asio::error_code error;
            this->caller.connect({ asio::ip::make_address("127.0.0.1"), this->port }, error);
            return !error;
        });
    }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(5));
        return condition();
    }

    /** Sends the bytes and waits until the server has this many exchanges. */
    void send(const std::string& bytes, std::size_t exchangeCount)
    {
        asio::write(this->caller, asio::buffer(bytes));
        CHECK_TRUE(this->runUntil([&] { return this->exchanges.size() == exchangeCount; }));
    }

    void readAnswer()
    {
        bool isRead = false;
        asio::async_read_until(this->caller, asio::dynamic_buffer(this->received), "answer",
            [&](const asio::error_code& error, std::size_t) { isRead = !error; });
        CHECK_TRUE(this->runUntil([&] { return isRead; }));
        this->received.clear();
    }
};

// The body of such a response stood before the next response on the connection.
TEST(HttpServerTest, aResponseToHeadHasNoBody)
{
    this->send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n", 1);
    this->exchanges[0]->respond({ 503, "text/plain", {}, "refused" });
    this->send(request, 2);
    this->exchanges[1]->respond({ 200, "text/plain", {}, "answer" });
    bool isRead = false;
    asio::async_read_until(this->caller, asio::dynamic_buffer(this->received), "answer",
        [&](const asio::error_code& error, std::size_t) { isRead = !error; });
    CHECK_TRUE(this->runUntil([&] { return isRead; }));
    STRCMP_CONTAINS("Content-Length: 7\r\n", this->received.c_str());
    CHECK_TRUE(this->received.find("refused") == std::string::npos);
}

TEST(HttpServerTest, theLateReleaseOfAnExchangeDoesNotHideThatTheCallerOfTheNextOneLeaves)
{
    this->send(request, 1);
    this->exchanges[0]->respond({ 200, "text/plain", {}, "answer" });
    this->readAnswer();
    this->send(request, 2);
    bool hasLeft = false;
    this->exchanges[1]->setDisconnectHandler([&] { hasLeft = true; });
    this->exchanges[0].reset();
    this->caller.close();
    CHECK_TRUE(this->runUntil([&] { return hasLeft; }));
}

TEST(HttpServerTest, anAnsweredExchangeIsNotToldThatItsCallerLeaves)
{
    this->send(request, 1);
    bool hasLeft = false;
    this->exchanges[0]->setDisconnectHandler([&] { hasLeft = true; });
    this->exchanges[0]->respond({ 200, "text/plain", {}, "answer" });
    this->readAnswer();
    this->send(request, 2);
    bool hasNextLeft = false;
    this->exchanges[1]->setDisconnectHandler([&] { hasNextLeft = true; });
    this->caller.close();
    CHECK_TRUE(this->runUntil([&] { return hasNextLeft; }));
    CHECK_FALSE(hasLeft);
}

TEST(HttpServerTest, pipelinedRequestsWithBodiesAreServedInTurn)
{
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    this->send(post + "Content-Length: 5\r\n\r\nfirst" + post + "Transfer-Encoding: chunked\r\n\r\n3\r\nsec\r\n", 1);
    STRCMP_EQUAL("first", this->exchanges[0]->request().body().c_str());
    this->exchanges[0]->respond({ 200, "text/plain", {}, "answer" });
    this->readAnswer();
    this->send("3\r\nond\r\n0\r\n\r\n", 2);
    STRCMP_EQUAL("second", this->exchanges[1]->request().body().c_str());
}

TEST(HttpServerTest, aCallerThatAnnouncesTooMuchIsToldAndDisconnected)
{
    asio::write(this->caller, asio::buffer(std::string("PUT / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n")));
    bool isClosed = false;
    asio::async_read(this->caller, asio::dynamic_buffer(this->received),
        [&](const asio::error_code& error, std::size_t) { isClosed = error == asio::error::eof; });
    CHECK_TRUE(this->runUntil([&] { return isClosed; }));
    STRCMP_CONTAINS("HTTP/1.1 413 ", this->received.c_str());
    CHECK_TRUE(this->exchanges.empty());
}

// What the caller of an aborted response did not read was kept for up to a minute and not counted.
TEST(HttpServerTest, anAbortedResponseDoesNotKeepWhatItsCallerDoesNotRead)
{
    this->send(request, 1);
    this->exchanges[0]->beginStream({ 200, "text/plain" });
    this->exchanges[0]->write(std::string(64'000'000, 'x'));
    this->context.run_for(std::chrono::milliseconds(50));
    CHECK_TRUE(this->exchanges[0]->unsentBytes() > 0);
    this->exchanges[0]->abort();
    CHECK_TRUE(this->runUntil([this] { return this->exchanges[0]->unsentBytes() == 0; }));
}

TEST(HttpServerTest, anAbortedResponseIsSentAsFarAsItWasWritten)
{
    this->send(request, 1);
    this->exchanges[0]->beginStream({ 200, "text/plain" });
    this->exchanges[0]->write("the last answer");
    this->exchanges[0]->abort();
    this->readAnswer();
}

TEST(HttpServerTest, aHeadOfTheLargestSizeIsHandedOverWhole)
{
    std::string head = "GET / HTTP/1.1\r\n";
    std::size_t fields = 0;
    for (; head.size() < 64 * 1024; ++fields)
        head += "a:b\r\n";
    this->send(head + "\r\n", 1);
    CHECK_EQUAL(fields, this->exchanges[0]->request().headers.size());
}

// The connection was closed at once, and the request before the refused one lost its answer.
TEST(HttpServerTest, aRequestBehindAnUnansweredOneIsRefusedAfterTheAnswer)
{
    this->send(std::string(request) + "PUT / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n", 1);
    bool isClosed = false;
    asio::async_read(this->caller, asio::dynamic_buffer(this->received),
        [&](const asio::error_code& error, std::size_t) { isClosed = error == asio::error::eof; });
    this->context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(isClosed);
    this->exchanges[0]->respond({ 200, "text/plain", {}, "answer" });
    CHECK_TRUE(this->runUntil([&] { return isClosed; }));
    STRCMP_CONTAINS("answerHTTP/1.1 413 ", this->received.c_str());
}

TEST(HttpServerTest, theCallerOfAnUnansweredRequestBeforeARefusedOneIsSeenToLeave)
{
    this->send(std::string(request) + "PUT / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n", 1);
    bool hasLeft = false;
    this->exchanges[0]->setDisconnectHandler([&] { hasLeft = true; });
    this->context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(hasLeft);
    this->caller.close();
    CHECK_TRUE(this->runUntil([&] { return hasLeft; }));
}

TEST(HttpServerTest, aServerThatCannotListenTellsWhy)
{
    int failures = 0;
    const auto fail = [&failures](const std::string& message) { failures += message.empty() ? 0 : 1; };
    Web::HttpServer misaddressed { this->context, { "nonsense", this->port, 1'000 }, {} };
    misaddressed.start(fail);
    Web::HttpServer second { this->context, { "127.0.0.1", this->port, 1'000 }, {} };
    second.start(fail);
    CHECK_TRUE(this->runUntil([&] { return failures == 2; }));
}
