#include "../unusedport.h"

#include <platform/httptransfers.h>
#include <web/httpserver.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace Platform;

namespace {

constexpr auto patience = std::chrono::seconds(20);

/** A server that breaks the connection after it has taken a POST. */
struct BreakingServer {
    asio::io_context context { 1 };
    std::uint16_t port = unusedPort();
    int posts = 0;
    /** Whether the next request finds its connection broken. */
    bool breaksNext = false;
    Web::HttpServer server { this->context, { "127.0.0.1", this->port, 1'000'000 },
        [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->answer(*exchange); } };
    HttpTransfers transfers { this->context };

    BreakingServer()
    {
        this->server.start([](const std::string&) {});
    }

    void answer(Web::HttpExchange& exchange)
    {
        if (std::exchange(this->breaksNext, false)) {
            exchange.abort();
            return;
        }
        if (exchange.request().method != "POST") {
            exchange.respond({ 200, "text/plain", {}, "ok" });
            return;
        }
        ++this->posts;
        exchange.abort();
    }

    HttpCallResult call(const std::string& method, Resend resend, const std::string& body = {})
    {
        std::optional<HttpCallResult> result;
        HttpCall httpCall { method, "http://127.0.0.1:" + std::to_string(this->port) + "/", {}, body, patience,
            resend };
        this->transfers.fetch(std::move(httpCall), [&result](HttpCallResult got) { result = std::move(got); });
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!result && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(100));
        CHECK_TRUE(result.has_value());
        return *result;
    }
};

} // namespace

TEST_GROUP(HttpTransfers) {};

TEST(HttpTransfers, aCallThatMustNotBeResentIsSentOnce)
{
    BreakingServer server;
    // The first call leaves a kept connection, on which libcurl would send a second time.
    CHECK_TRUE(server.call("GET", Resend::Allowed).isSuccess());
    CHECK_TRUE(server.call("POST", Resend::Never, "body").end == CallEnd::Broken);
    LONGS_EQUAL(1, server.posts);
}

TEST(HttpTransfers, aCallWithoutABodyThatMustNotBeResentIsSentOnce)
{
    BreakingServer server;
    CHECK_TRUE(server.call("GET", Resend::Allowed).isSuccess());
    CHECK_TRUE(server.call("POST", Resend::Never).end == CallEnd::Broken);
    LONGS_EQUAL(1, server.posts);
}

TEST(HttpTransfers, aRefusedConnectionHadNoEffect)
{
    asio::io_context context { 1 };
    const std::uint16_t port = unusedPort();
    HttpTransfers transfers(context);
    std::optional<CallEnd> end;
    HttpCall call;
    call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
    transfers.fetch(std::move(call), [&end](const HttpCallResult& result) { end = result.end; });
    const auto guard = asio::make_work_guard(context);
    const auto giveUp = std::chrono::steady_clock::now() + patience;
    while (!end && std::chrono::steady_clock::now() < giveUp)
        context.run_one_for(std::chrono::milliseconds(100));
    CHECK_TRUE(end == CallEnd::NotConnected);
}

// libcurl closes a kept connection that broke and opens another one within the same event; the new socket has the
// number of the old one.
TEST(HttpTransfers, aCallGoesOnWhenItsKeptConnectionBreaks)
{
    BreakingServer server;
    for (int round = 0; round < 5; ++round) {
        CHECK_TRUE(server.call("GET", Resend::Allowed).isSuccess());
        server.breaksNext = true;
        const auto begin = std::chrono::steady_clock::now();
        CHECK_TRUE(server.call("GET", Resend::Allowed).isSuccess());
        // Without the socket's events the call would go on only when libcurl looks by itself, after a second.
        CHECK_TRUE(std::chrono::steady_clock::now() - begin < std::chrono::milliseconds(500));
        CHECK_FALSE(server.breaksNext);
    }
}
