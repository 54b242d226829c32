#include "../unusedport.h"
#include "standinstore.h"
#include "storesynchronizer.h"

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>

#include <algorithm>
#include <vector>

using namespace Gateway;
using namespace std::chrono_literals;

// A gateway that was cut off from the store and then reads what it missed in several parts.
TEST_GROUP(StoreBacklogTest)
{
    static constexpr int backlogVersions = 6;

    asio::io_context context;
    std::uint16_t storePort = unusedPort();
    StandinStore store { this->context, this->storePort };
    Platform::HttpTransfers transfers { this->context };
    Foundation::ManualClock clock;
    Foundation::ManualClock bootClock;
    Foundation::MetricRegistry metrics;
    std::vector<Wire::StoreCacheReply> sentUpdates;
    /** How often the state was seen while keys were accepted although not all versions were read. */
    int staleAcceptances = 0;
    StoreSynchronizer synchronizer { this->transfers, this->clock, this->bootClock, this->metrics, this->makeSettings(),
        { [this] { this->countStaleAcceptance(); }, [](const std::string&) {}, [](const auto&) {},
            [](const Wire::StoreCacheQuery&) { return true; },
            [this](const Wire::StoreCacheReply& update) { this->sentUpdates.push_back(update); }, [](const auto&) {},
            [](Foundation::Duration) {}, [] { return 0; } } };

    void setup() override
    {
        this->advance(1h);
        this->store.start();
        this->store.put("keyed.op", "config", R"({"version": 1})");
        this->store.put("keyed.servers", "up", "{}");
        this->synchronizer.start();
        this->runFor(300ms);
        CHECK_TRUE(this->synchronizer.canAcceptKeys());
    }

    GatewaySettings makeSettings() const
    {
        GatewaySettings settings;
        settings.node.name = "gateway-1";
        settings.node.storeAddress = "127.0.0.1:" + std::to_string(this->storePort);
        settings.node.keyRevocationLimit = 5s;
        settings.node.policyApplyLimit = 2s;
        settings.node.drainLimit = 2s;
        return settings;
    }

    void advance(Foundation::Duration time)
    {
        this->clock.advance(time);
        this->bootClock.advance(time);
    }

    /** Called whenever a version comes into force. */
    void countStaleAcceptance()
    {
        const auto policy = this->synchronizer.policy();
        if (this->synchronizer.canAcceptKeys() && policy && policy->version() <= backlogVersions)
            ++this->staleAcceptances;
    }

    void step()
    {
        this->advance(10ms);
        this->synchronizer.tick();
        this->context.restart();
        this->context.run_for(2ms);
    }

    void runFor(Foundation::Duration time)
    {
        for (Foundation::Duration passed {}; passed < time; passed += 10ms)
            this->step();
    }

    /** Cuts the gateway off while the operator writes further versions; afterwards reads return one record each. */
    void missVersions()
    {
        this->store.setUnavailable(true);
        this->runFor(300ms);
        for (int version = 2; version <= backlogVersions + 1; ++version)
            this->store.put("keyed.op", "config", R"({"version": )" + std::to_string(version) + "}");
        this->advance(8s);
        this->synchronizer.tick();
        CHECK_FALSE(this->synchronizer.canAcceptKeys());
        this->store.maximumReadRecords = 1;
        this->store.setUnavailable(false);
        this->staleAcceptances = 0;
        this->sentUpdates.clear();
    }
};

// A read of a part was taken for the whole, so requests ran with keys that had been removed 5 to 8 s before.
TEST(StoreBacklogTest, keysAreNotAcceptedBeforeTheWholeBacklogIsRead)
{
    this->missVersions();
    this->runFor(4s);
    LONGS_EQUAL(0, this->staleAcceptances);
    LONGS_EQUAL(backlogVersions + 1, this->synchronizer.policy()->version());
    CHECK_TRUE(this->synchronizer.canAcceptKeys());
}

// The other gateways of the failure domain accepted the keys, too, since the reader told them a young age.
TEST(StoreBacklogTest, theAgeThatIsPassedOnDoesNotFallWithAPartOfTheBacklog)
{
    this->missVersions();
    this->runFor(4s);
    const std::uint64_t wholeEnd = backlogVersions + 1;
    CHECK_TRUE(std::ranges::any_of(this->sentUpdates, [&](const Wire::StoreCacheReply& update) {
        return update.operatorUpdate.end == wholeEnd && update.operatorAgeMs < 1'000;
    }));
    for (const Wire::StoreCacheReply& update : this->sentUpdates)
        CHECK_TRUE(update.operatorUpdate.end == wholeEnd || update.operatorAgeMs >= 8'000);
}

// Entries that seem missing are taken as ended if the list of upstreams is current.
TEST(StoreBacklogTest, theAgeOfTheUpstreamsDoesNotFallWithAPartOfTheBacklog)
{
    this->store.setUnavailable(true);
    this->runFor(300ms);
    for (int i = 0; i < 5; ++i)
        this->store.put("keyed.servers", "up" + std::to_string(i), "{}");
    this->advance(8s);
    this->store.maximumReadRecords = 1;
    this->store.setUnavailable(false);
    this->sentUpdates.clear();
    this->runFor(4s);
    constexpr std::uint64_t wholeEnd = 6;
    for (const Wire::StoreCacheReply& update : this->sentUpdates)
        CHECK_TRUE(update.upstreamUpdate.end == wholeEnd || update.upstreamAgeMs >= 8'000);
    UNSIGNED_LONGS_EQUAL(wholeEnd, this->sentUpdates.back().upstreamUpdate.end);
}

// Such a read seemed to have been held to its end, so the cache counted as current as of its arrival.
TEST(StoreBacklogTest, aReadThatRepeatsWhatAPeerHasToldIsNotTakenForAnEmptyOne)
{
    Wire::StoreCacheReply update;
    update.hasCachedState = true;
    update.operatorUpdate.records = { { "config", R"({"version": 2})", 1 } };
    update.operatorUpdate.from = update.upstreamUpdate.from = update.upstreamUpdate.end = 1;
    update.operatorUpdate.end = 2;
    update.operatorAgeMs = update.upstreamAgeMs = 60'000;
    this->synchronizer.onReply(update);
    this->advance(1'500ms);
    this->store.put("keyed.op", "config", R"({"version": 2})");
    this->step();
    CHECK_TRUE(*this->synchronizer.cacheAge() >= 1'500ms);
}

// No wait between the parts: the state is old until the last one is read.
TEST(StoreBacklogTest, theNextPartIsReadAtOnce)
{
    this->missVersions();
    int steps = 0;
    while (!this->synchronizer.canAcceptKeys() && steps < 400) {
        this->step();
        ++steps;
    }
    // The retry delay after the outage comes first, at most 500 ms.
    CHECK_TRUE(steps * 10 < 1'000);
}
