#include "../unusedport.h"
#include "listenfailure.h"
#include "standinstore.h"
#include "storesynchronizer.h"

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>

#include <set>

using namespace Gateway;
using namespace std::chrono_literals;

// Topics that one gateway of a failure domain reads for the others: crash notices and the addresses of gateways.
TEST_GROUP(AuxiliaryTopicsTest)
{
    asio::io_context context;
    std::uint16_t storePort = unusedPort();
    StandinStore store { this->context, this->storePort };
    Platform::HttpTransfers transfers { this->context };
    Foundation::ManualClock clock;
    Foundation::ManualClock bootClock;
    Foundation::MetricRegistry metrics;
    std::set<std::string> suspectKeys;
    std::vector<Wire::StoreCacheReply> sentUpdates;
    std::size_t domainRank = 1;
    StoreSynchronizer synchronizer { this->transfers, this->clock, this->bootClock, this->metrics, this->makeSettings(),
        { [] {}, [](const std::string&) {}, [](const auto&) {}, [](const Wire::StoreCacheQuery&) { return true; },
            [this](const Wire::StoreCacheReply& update) { this->sentUpdates.push_back(update); },
            [this](const StoreCache::KeyedRecord& record) { this->suspectKeys.insert(record.key); },
            [](Foundation::Duration) {}, [this] { return this->domainRank; } } };

    void setup() override
    {
        this->advance(1h);
        this->store.start();
        this->store.put("keyed.op", "config", R"({"version": 1})");
        this->store.put("keyed.suspects", "first", "{}");
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

    /** Starts the synchronizer and waits until it has read all topics. */
    void start()
    {
        this->synchronizer.start();
        this->runFor(300ms);
        UNSIGNED_LONGS_EQUAL(1, this->suspectKeys.size());
    }

    void runFor(Foundation::Duration time)
    {
        for (Foundation::Duration passed {}; passed < time; passed += 50ms) {
            this->advance(50ms);
            this->synchronizer.tick();
            this->context.restart();
            this->context.run_for(5ms);
        }
    }

    /** Passes on what the reader of the failure domain has read of the crash notices. */
    void passOn(std::uint64_t from, std::vector<StoreCache::KeyedRecord> records)
    {
        Wire::StoreCacheReply update;
        update.hasCachedState = true;
        update.operatorUpdate.from = update.operatorUpdate.end = 1;
        const std::uint64_t end = from + records.size();
        update.suspects = { StoreCache::TopicUpdate::range(from, std::move(records), end), 1 };
        update.peers = { {}, 1 };
        this->synchronizer.onReply(update);
    }
};

TEST(AuxiliaryTopicsTest, aGatewayThatIsToldOfCrashNoticesDoesNotReadThemItself)
{
    this->start();
    const int callsAtStart = this->store.calls;
    for (std::uint64_t offset = 1; offset <= 40; ++offset) {
        const std::string key = "later" + std::to_string(offset);
        this->store.put("keyed.suspects", key, "{}");
        this->passOn(offset, { { key, "{}", offset } });
        this->runFor(500ms);
    }
    UNSIGNED_LONGS_EQUAL(41, this->suspectKeys.size());
    LONGS_EQUAL(callsAtStart, this->store.calls);
}

TEST(AuxiliaryTopicsTest, aGatewayReadsCrashNoticesItselfWhenTheReaderFallsSilent)
{
    this->start();
    this->passOn(1, {});
    this->store.put("keyed.suspects", "second", "{}");
    this->runFor(6s);
    CHECK_TRUE(this->suspectKeys.contains("second"));
}

TEST(AuxiliaryTopicsTest, aGatewayThatHasMissedWhatWasPassedOnReadsItItself)
{
    this->start();
    this->store.put("keyed.suspects", "second", "{}");
    for (int i = 0; i < 20; ++i) {
        this->passOn(2, {});
        this->runFor(500ms);
    }
    CHECK_TRUE(this->suspectKeys.contains("second"));
}

TEST(AuxiliaryTopicsTest, theReaderPassesCrashNoticesOnOnce)
{
    this->domainRank = 0;
    this->store.put("keyed.servers", "x", "{}");
    this->start();
    this->sentUpdates.clear();
    this->store.put("keyed.suspects", "second", "{}");
    this->runFor(4s);
    std::size_t passedOn = 0;
    for (const Wire::StoreCacheReply& update : this->sentUpdates) {
        CHECK_TRUE(update.suspects.ageMs > 0);
        passedOn += update.suspects.update.records.size();
    }
    UNSIGNED_LONGS_EQUAL(1, passedOn);
}
