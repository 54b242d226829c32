#include "../unusedport.h"

#include <platform/configurationkeeper.h>
#include <platform/logclient.h>
#include <platform/logfollower.h>
#include <standin/logservice.h>
#include <web/httpserver.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Platform;

namespace {

constexpr auto patience = std::chrono::seconds(20);

/** The log stand-in and a client of it on one thread. */
struct LogBench {
    asio::io_context context { 1 };
    std::uint16_t port = unusedPort();
    Standin::LogService service;
    Web::HttpServer server { this->context, { "127.0.0.1", this->port, 1'000'000 },
        [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->service.handle(exchange); } };
    HttpTransfers transfers { this->context };
    std::string url = "http://127.0.0.1:" + std::to_string(this->port);
    LogClient client { this->transfers, this->url };

    explicit LogBench(std::chrono::milliseconds retention = std::chrono::hours(1))
        : service(this->context, { retention, 1000 })
    {
        this->server.start([](const std::string&) {});
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(std::chrono::milliseconds(100));
        CHECK_TRUE(condition());
    }

    AppendEnd append(const std::string& data)
    {
        std::optional<AppendEnd> end;
        this->client.append("configuration", data, [&end](const AppendResult& result) { end = result.end; });
        this->runUntil([&end] { return end.has_value(); });
        return *end;
    }

    void setFaults(const std::string& json)
    {
        bool done = false;
        this->transfers.fetch(
            { "POST", this->url + "/faults", {}, json }, [&done](const HttpCallResult&) { done = true; });
        this->runUntil([&done] { return done; });
    }
};

std::string documentRecord(const std::string& id, std::uint64_t base, const std::string& name)
{
    return Configuration::encodeRecord(
        Configuration::DocumentRecord { id, base, R"({"environment": ")" + name + "\"}" });
}

} // namespace

TEST_GROUP(LogFollower) {};

TEST(LogFollower, tellsOfAnOutageAndGoesOnBehindIt)
{
    LogBench bench;
    std::vector<std::string> seen;
    std::vector<bool> availability;
    LogFollowerHandlers handlers;
    handlers.onPage = [&seen](const LogPage& page) {
        for (const LogRecord& record : page.records)
            seen.push_back(record.data);
    };
    handlers.onAvailability = [&availability](bool available) { availability.push_back(available); };
    const auto follower = std::make_shared<LogFollower>(bench.context, bench.client, "configuration", handlers);
    CHECK_TRUE(bench.append("one") == AppendEnd::Appended);
    follower->start(0);
    bench.runUntil([&seen] { return seen.size() == 1; });
    bench.setFaults(R"({"outage":1})");
    CHECK_TRUE(bench.append("lost") == AppendEnd::Unknown);
    bench.setFaults(R"({"outage":0})");
    CHECK_TRUE(bench.append("two") == AppendEnd::Appended);
    bench.runUntil([&seen] { return seen.size() == 2; });
    STRCMP_EQUAL("two", seen[1].c_str());
    follower->stop();
}

TEST(LogFollower, anAppendWhoseAnswerWasLostIsUnknownAndInTheLog)
{
    LogBench bench;
    bench.setFaults(R"({"loseAppendAnswers":1})");
    CHECK_TRUE(bench.append("one") == AppendEnd::Unknown);
    std::optional<std::size_t> count;
    bench.client.read("configuration", 0, {},
        [&count](const Foundation::Result<LogPage>& page) { count = page.value().records.size(); });
    bench.runUntil([&count] { return count.has_value(); });
    LONGS_EQUAL(1, *count);
}

TEST(LogFollower, snapshotsCarryTheConfigurationOverTheRetentionTime)
{
    LogBench bench(std::chrono::milliseconds(1'500));
    std::uint64_t version = 0;
    const auto keeper = std::make_shared<ConfigurationKeeper>(bench.context, bench.client,
        [&version](const ActiveConfigurationPtr& active) { version = active->state.version; });
    keeper->start();
    bench.append(documentRecord("a", 0, "trial"));
    bench.runUntil([&version] { return version == 1; });
    // Wait until the document's own record has expired, by the log's own word.
    bool expired = false;
    bool asking = false;
    bench.runUntil([&] {
        if (!asking && !expired) {
            asking = true;
            bench.client.read("configuration", 0, {}, [&](const Foundation::Result<LogPage>& page) {
                expired = page.value().first > 0;
                asking = false;
            });
        }
        return expired;
    });
    std::uint64_t freshVersion = 0;
    const auto fresh = std::make_shared<ConfigurationKeeper>(bench.context, bench.client,
        [&freshVersion](const ActiveConfigurationPtr& active) { freshVersion = active->state.version; });
    fresh->start();
    bench.runUntil([&freshVersion] { return freshVersion == 1; });
    keeper->stop();
    fresh->stop();
}
