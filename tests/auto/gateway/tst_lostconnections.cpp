#include "disconnectingupstream.h"
#include "gatewayfixture.h"

#include <algorithm>
#include <array>
#include <sstream>

using namespace GatewayTests;

namespace {

constexpr int thriceMaximumRuns = 3;

} // namespace

// Upstreams that end kept connections after they have read a request, or as idle. libcurl would send such a request up
// to five times again, and no limit would count that.
TEST_GROUP_BASE(LostConnectionsTest, GatewayFixture)
{
    std::array<DisconnectingUpstream, 3> upstreams { { { this->context, "three" }, { this->context, "four" },
        { this->context, "five" } } };

    void startWith(const std::string& service, std::size_t upstreamCount)
    {
        this->store.put("keyed.op", "config", this->document);
        const std::array<std::string, 3> names { "three", "four", "five" };
        for (std::size_t i = 0; i < upstreamCount; ++i)
            this->store.put("keyed.servers", names.at(i), this->upstreams.at(i).entry(service));
        CHECK_TRUE(this->core.start().has_value());
        CHECK_TRUE(this->runUntil([this] { return this->core.isReady(); }));
        this->runFor(100ms);
    }

    std::vector<std::shared_ptr<Answer>> callAtOnce(
        std::size_t count, const std::string& path, const std::string& method)
    {
        std::vector<std::shared_ptr<Answer>> answers;
        for (std::size_t i = 0; i < count; ++i) {
            answers.push_back(std::make_shared<Answer>());
            this->send(path + std::to_string(i), answers.back(), method);
        }
        CHECK_TRUE(this->runUntil(
            [&] { return std::ranges::all_of(answers, [](const auto& answer) { return answer->isFinished; }); }));
        return answers;
    }

    /** Leaves connections to the upstreams open, on each of which one request was answered. */
    void keepConnections(std::size_t count, const std::string& path, const std::string& method)
    {
        for (DisconnectingUpstream& upstream : this->upstreams)
            upstream.work = 100ms;
        for (const auto& answer : this->callAtOnce(count, path, method))
            LONGS_EQUAL(200, answer->result.status);
        LONGS_EQUAL(count, this->takeArrivals());
    }

    /** Returns the number of requests that the upstreams have read since the last call. */
    std::size_t takeArrivals()
    {
        std::size_t count = 0;
        for (DisconnectingUpstream& upstream : this->upstreams) {
            count += upstream.requests.size();
            upstream.requests.clear();
        }
        return count;
    }

    /** Returns the number of sends that the gateway has decided beyond the first of each request. */
    std::size_t retryCount()
    {
        std::istringstream metrics(this->core.renderMetrics());
        std::string line;
        std::size_t count = 0;
        while (std::getline(metrics, line)) {
            if (line.starts_with("bluebell_retries_total"))
                count += std::stoul(line.substr(line.rfind(' ')));
        }
        return count;
    }

    void setEnding(const ConnectionEnding& ending)
    {
        for (DisconnectingUpstream& upstream : this->upstreams)
            upstream.ending = ending;
    }

    void checkSends(const std::string& path, const std::string& method, std::size_t maximum)
    {
        const std::size_t before = this->retryCount();
        this->call(path, method);
        this->runFor(100ms);
        const std::size_t arrivals = this->takeArrivals();
        LONGS_EQUAL(1 + this->retryCount() - before, arrivals);
        CHECK_TRUE(arrivals <= maximum);
    }

    void checkCalls(const ConnectionEnding& ending, std::size_t connections)
    {
        this->startWith("app", this->upstreams.size());
        this->keepConnections(connections, "/thrice/kept", "GET");
        this->setEnding(ending);
        this->checkSends("/thrice/x", "GET", thriceMaximumRuns);
        this->checkSends("/thrice/x", "POST", thriceMaximumRuns);
        this->checkSends("/unsafe/x", "GET", 1);
        this->checkSends("/unsafe/x", "POST", 1);
    }

    void checkPrompts(const ConnectionEnding& ending)
    {
        this->startWith("llm", this->upstreams.size());
        this->keepConnections(6, "/stream/kept", "POST");
        this->setEnding(ending);
        this->checkSends("/stream/x", "POST", 2);
    }
};

TEST(LostConnectionsTest, aCallOnOneKeptConnectionIsSentAsOftenAsCountedAfterAnEndWithoutAnswer)
{
    this->checkCalls({}, 1);
}

TEST(LostConnectionsTest, aCallOnManyKeptConnectionsIsSentAsOftenAsCountedAfterAnEndWithoutAnswer)
{
    this->checkCalls({}, 12);
}

TEST(LostConnectionsTest, aCallOnOneKeptConnectionIsSentAsOftenAsCountedAfterAnEndInTheFirstWord)
{
    this->checkCalls({ "H" }, 1);
}

TEST(LostConnectionsTest, aCallOnManyKeptConnectionsIsSentAsOftenAsCountedAfterAnEndInTheFirstWord)
{
    this->checkCalls({ "H" }, 12);
}

TEST(LostConnectionsTest, aCallOnOneKeptConnectionIsSentAsOftenAsCountedAfterAnEndInTheStatusLine)
{
    this->checkCalls({ "HTTP/1.1 200 " }, 1);
}

TEST(LostConnectionsTest, aCallOnManyKeptConnectionsIsSentAsOftenAsCountedAfterAnEndInTheStatusLine)
{
    this->checkCalls({ "HTTP/1.1 200 " }, 12);
}

TEST(LostConnectionsTest, aCallOnOneKeptConnectionIsSentAsOftenAsCountedAfterALateReset)
{
    this->checkCalls({ "", 300ms, true }, 1);
}

TEST(LostConnectionsTest, aCallOnManyKeptConnectionsIsSentAsOftenAsCountedAfterALateReset)
{
    this->checkCalls({ "", 300ms, true }, 12);
}

TEST(LostConnectionsTest, aPromptIsSentAsOftenAsCountedAfterAnEndWithoutAnswer) { this->checkPrompts({}); }

TEST(LostConnectionsTest, aPromptIsSentAsOftenAsCountedAfterAnEndInTheStatusLine)
{
    this->checkPrompts({ "HTTP/1.1 200 " });
}

TEST(LostConnectionsTest, aPromptIsSentAsOftenAsCountedAfterALateReset) { this->checkPrompts({ "", 300ms, true }); }

TEST(LostConnectionsTest, requestsOnLostConnectionsKeepToTheRetryBudget)
{
    constexpr std::size_t callCount = 6;
    constexpr int allowance = 2;
    this->settings.node.retryRatio = 0;
    this->settings.node.retryAllowance = allowance;
    this->core.reload(this->settings);
    this->startWith("app", this->upstreams.size());
    this->keepConnections(callCount, "/thrice/kept", "GET");
    this->setEnding({ "", 50ms, true });
    this->callAtOnce(callCount, "/thrice/x", "GET");
    CHECK_TRUE(this->takeArrivals() <= callCount + allowance);
}

TEST(LostConnectionsTest, aRequestOnALostConnectionIsNotSentToAnUpstreamThatAskedForAPause)
{
    DisconnectingUpstream& only = this->upstreams.front();
    this->startWith("app", 1);
    this->keepConnections(2, "/patient/kept", "GET");
    only.ending = ConnectionEnding { "", 150ms, true };
    const auto lost = std::make_shared<Answer>();
    this->send("/patient/x", lost);
    CHECK_TRUE(this->runUntil([&] { return only.requests.size() == 1; }));
    only.ending.reset();
    only.pause = "5";
    this->call("/patient/y");
    LONGS_EQUAL(2, this->takeArrivals());
    CHECK_TRUE(this->runUntil([&] { return lost->isFinished; }));
    LONGS_EQUAL(0, this->takeArrivals());
}

// The only run that the request has besides the lost one is made on a new connection.
TEST(LostConnectionsTest, aRequestIsServedAlthoughTheUpstreamEndsItsKeptConnections)
{
    this->startWith("app", 1);
    this->keepConnections(6, "/safe/kept", "GET");
    DisconnectingUpstream& only = this->upstreams.front();
    only.endsUsedOnly = true;
    this->setEnding({ "", 0ms, true });
    LONGS_EQUAL(200, this->call("/safe/x").result.status);
    LONGS_EQUAL(2, this->takeArrivals());
    LONGS_EQUAL(0, this->core.renderMetrics().find("bluebell_suspects_total") == std::string::npos ? 0 : 1);
}

// The calls reach the upstream at about the time at which it closes their connection.
TEST(LostConnectionsTest, callersOfConnectionsThatAreClosedAsIdleAreServed)
{
    constexpr int callCount = 30;
    DisconnectingUpstream& only = this->upstreams.front();
    only.idleTimeout = 50ms;
    this->startWith("app", 1);
    for (int i = 0; i < callCount; ++i) {
        LONGS_EQUAL(200, this->call("/safe/x").result.status);
        this->runFor(48ms + std::chrono::microseconds(100 * i));
    }
}

// Memory must be free 4 s after the run that used it has ended. The run lasts less than a second here.
TEST(LostConnectionsTest, memoryIsNotKeptForARunWhoseAnswerWasLost)
{
    // No engine has the memory for the prompt alone.
    nlohmann::json document = nlohmann::json::parse(this->document);
    document["services"][1]["engine"]["kv_capacity"] = 10'000;
    for (nlohmann::json& route : document["routes"]) {
        if (route["name"] == "stream") {
            route["resumable"] = false;
            route["timeout_ms"] = 9'000;
        }
    }
    this->document = document.dump();
    this->promptTokens = 10'000;
    this->callerTimeout = 9s;
    this->startWith("llm", this->upstreams.size());
    for (DisconnectingUpstream& upstream : this->upstreams)
        upstream.losesAnswers = true;
    const auto sentAt = std::chrono::steady_clock::now();
    this->send("/stream/x", std::make_shared<Answer>(), "POST");
    this->runFor(8s);
    auto lastReservedAt = sentAt;
    for (const DisconnectingUpstream& upstream : this->upstreams)
        lastReservedAt = std::max(lastReservedAt, upstream.lastReservedAt);
    CHECK_TRUE(lastReservedAt > sentAt);
    CHECK_TRUE(lastReservedAt < sentAt + 4s);
    LONGS_EQUAL(1, this->takeArrivals());
}
