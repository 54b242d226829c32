#include "../../standins/listenfailure.h"
#include "../unusedport.h"

#include <platform/configurationfollower.h>
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

constexpr auto testTimeout = std::chrono::seconds(20);

/** A log stand-in and its client, on one thread. */
struct LogFixture {
    asio::io_context context { 1 };
    std::uint16_t port = unusedPort();
    Standin::LogService service;
    Web::HttpServer server { this->context, { "127.0.0.1", this->port, 1'000'000 },
        [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->service.handle(exchange); } };
    HttpTransfers transfers { this->context };
    std::string url = "http://127.0.0.1:" + std::to_string(this->port);
    LogClient client { this->transfers, this->url };

    explicit LogFixture(std::chrono::milliseconds retention = std::chrono::hours(1))
        : service(this->context, { retention, 1000 })
    {
        this->server.start(throwListenFailure(this->context));
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + testTimeout;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(std::chrono::milliseconds(100));
        CHECK_TRUE(condition());
    }

    AppendOutcome append(const std::string& data)
    {
        std::optional<AppendOutcome> outcome;
        this->client.append(
            "configuration", data, [&outcome](const AppendResult& result) { outcome = result.outcome; });
        this->runUntil([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    void setFaults(const std::string& json)
    {
        bool isDone = false;
        this->transfers.fetch(
            { "POST", this->url + "/faults", {}, json }, [&isDone](const HttpCallResult&) { isDone = true; });
        this->runUntil([&isDone] { return isDone; });
    }
};

std::string documentRecord(const std::string& id, std::uint64_t base, const std::string& name)
{
    return Configuration::encodeRecord(
        Configuration::DocumentRecord { id, base, R"({"environment": ")" + name + "\"}" });
}

} // namespace

TEST_GROUP(LogFollower) {};

TEST(LogFollower, resumesAfterAnOutage)
{
    LogFixture fixture;
    std::vector<std::string> receivedData;
    std::vector<bool> availability;
    LogFollowerHandlers handlers;
    handlers.onPage = [&receivedData](const LogPage& page) {
        for (const LogRecord& record : page.records)
            receivedData.push_back(record.data);
    };
    handlers.onAvailability = [&availability](bool available) { availability.push_back(available); };
    const auto follower = std::make_shared<LogFollower>(fixture.context, fixture.client, "configuration", handlers);
    CHECK_TRUE(fixture.append("one") == AppendOutcome::Appended);
    follower->start(0);
    fixture.runUntil([&receivedData] { return receivedData.size() == 1; });
    fixture.setFaults(R"({"outage":1})");
    CHECK_TRUE(fixture.append("lost") == AppendOutcome::Unknown);
    fixture.setFaults(R"({"outage":0})");
    CHECK_TRUE(fixture.append("two") == AppendOutcome::Appended);
    fixture.runUntil([&receivedData] { return receivedData.size() == 2; });
    STRCMP_EQUAL("two", receivedData[1].c_str());
    follower->stop();
}

TEST(LogFollower, appendWithALostAnswerIsUnknownAndInTheLog)
{
    LogFixture fixture;
    fixture.setFaults(R"({"loseAppendAnswers":1})");
    CHECK_TRUE(fixture.append("one") == AppendOutcome::Unknown);
    std::optional<std::size_t> count;
    fixture.client.read("configuration", 0, {},
        [&count](const Foundation::Result<LogPage>& page) { count = page.value().records.size(); });
    fixture.runUntil([&count] { return count.has_value(); });
    LONGS_EQUAL(1, *count);
}

TEST(LogFollower, snapshotsPreserveTheConfigurationBeyondTheRetentionTime)
{
    LogFixture fixture(std::chrono::milliseconds(1'500));
    std::uint64_t version = 0;
    const auto follower = std::make_shared<ConfigurationFollower>(fixture.context, fixture.client,
        [&version](const ActiveConfigurationPtr& active) { version = active->state.version; });
    follower->start();
    fixture.append(documentRecord("a", 0, "trial"));
    fixture.runUntil([&version] { return version == 1; });
    // Waits until the log reports that the record of the document has expired.
    bool hasExpired = false;
    bool isReading = false;
    fixture.runUntil([&] {
        if (!isReading && !hasExpired) {
            isReading = true;
            fixture.client.read("configuration", 0, {}, [&](const Foundation::Result<LogPage>& page) {
                hasExpired = page.value().first > 0;
                isReading = false;
            });
        }
        return hasExpired;
    });
    std::uint64_t newFollowerVersion = 0;
    const auto newFollower = std::make_shared<ConfigurationFollower>(fixture.context, fixture.client,
        [&newFollowerVersion](const ActiveConfigurationPtr& active) { newFollowerVersion = active->state.version; });
    newFollower->start();
    fixture.runUntil([&newFollowerVersion] { return newFollowerVersion == 1; });
    follower->stop();
    newFollower->stop();
}
