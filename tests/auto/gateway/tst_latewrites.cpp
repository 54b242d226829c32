#include "../unusedport.h"
#include "standinstore.h"
#include "storesynchronizer.h"
#include "suspectstore.h"

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>

using namespace Gateway;
using namespace std::chrono_literals;

// What the gateways write to the store, when the store executes a write after newer ones.
TEST_GROUP(LateWritesTest)
{
    asio::io_context context;
    std::uint16_t storePort = unusedPort();
    StandinStore store { this->context, this->storePort };
    Platform::HttpTransfers transfers { this->context };
    Foundation::ManualClock clock;
    Foundation::SystemWallClock wallClock;
    Foundation::MetricRegistry metrics;
    std::map<std::string, std::string> peerAddresses;
    StoreSynchronizer synchronizer { this->transfers, this->clock, this->clock, this->metrics, this->makeSettings(),
        { [] {}, [](const std::string&) {}, [this](const auto& addresses) { this->peerAddresses = addresses; },
            [](const Wire::StoreCacheQuery&) { return true; }, [](const Wire::StoreCacheReply&) {}, [](const auto&) {},
            [](Foundation::Duration) {}, [] { return std::size_t { 0 }; } } };
    SuspectTopicWriter writer { this->synchronizer.storeClient(), this->clock };
    Quarantine::SuspectRegistry suspects { this->clock, 3 };
    SuspectStore suspectStore { this->writer, this->clock, this->wallClock, this->suspects };

    void setup() override
    {
        this->clock.advance(1h);
        this->store.start();
        this->store.put("keyed.op", "config", R"({"version": 1})");
    }

    GatewaySettings makeSettings() const
    {
        GatewaySettings settings;
        settings.node.name = "gateway-1";
        settings.node.peerEndpoint = { "127.0.0.1", 2 };
        settings.node.storeAddress = "127.0.0.1:" + std::to_string(this->storePort);
        settings.node.keyRevocationLimit = 5s;
        settings.node.policyApplyLimit = 2s;
        settings.node.drainLimit = 2s;
        return settings;
    }

    void runFor(Foundation::Duration time)
    {
        for (Foundation::Duration passed {}; passed < time; passed += 50ms) {
            this->clock.advance(50ms);
            this->synchronizer.tick();
            this->writer.tick();
            this->context.restart();
            this->context.run_for(5ms);
        }
    }
};

// The other gateways could not connect to a gateway whose address was overwritten by that of its predecessor.
TEST(LateWritesTest, anAddressThatIsOverwrittenIsWrittenAgain)
{
    this->synchronizer.start();
    this->runFor(3s);
    STRCMP_EQUAL("127.0.0.1:2", this->peerAddresses["gateway-1"].c_str());
    this->store.put("keyed.peers", "gateway-1", "127.0.0.1:1");
    this->runFor(6s);
    STRCMP_EQUAL("127.0.0.1:2", this->peerAddresses["gateway-1"].c_str());
}

// Each gateway that started after this waited for the writers of the store.
TEST(LateWritesTest, aSettledEraThatIsOverwrittenIsRecordedAgain)
{
    this->store.takeCopy();
    this->synchronizer.start();
    this->runFor(1s);
    CHECK_TRUE(this->store.contains("keyed.peers", "era/settled"));
    const int appends = this->store.appends;
    this->store.put("keyed.peers", "era/settled", "0");
    this->runFor(4s);
    LONGS_EQUAL(appends + 1, this->store.appends);
}

// A request that had been found harmless was quarantined again by its crash records.
TEST(LateWritesTest, aCrashRecordThatIsExecutedAfterItsRemovalIsIgnoredAndRemovedAgain)
{
    constexpr const char* topic = "keyed.suspects";
    this->suspects.record({ "f", "a/1", Quarantine::CrashCertainty::Confirmed });
    this->suspects.record({ "f", "b/1", Quarantine::CrashCertainty::Confirmed });
    this->suspectStore.onRecorded("f", /* isObservedHere */ true);
    this->runFor(1s);
    const std::set<std::string> keys = this->store.keys(topic);
    UNSIGNED_LONGS_EQUAL(2, keys.size());
    const std::string value = R"({"crash":"a/1","certainty":2,"recordedMs":)"
        + std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(this->wallClock.now().time_since_epoch()).count())
        + "}";
    this->suspects.exonerate("f");
    this->suspectStore.remove("f");
    this->runFor(1s);
    CHECK_TRUE(this->store.keys(topic).empty());
    this->store.put(topic, *keys.begin(), value);
    this->suspectStore.onRecord({ *keys.begin(), value, 4 });
    this->runFor(1s);
    UNSIGNED_LONGS_EQUAL(0, this->suspects.crashCount("f"));
    CHECK_TRUE(this->store.keys(topic).empty());
}

TEST(LateWritesTest, aCrashRecordThatIsExecutedAfterItsRemovalByAnotherGatewayIsIgnored)
{
    const std::int64_t nowMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(this->wallClock.now().time_since_epoch()).count();
    const auto makeRecord = [](std::int64_t recordedMs, std::uint64_t offset) {
        return StoreCache::KeyedRecord { "f/1",
            R"({"crash":"a/1","certainty":2,"recordedMs":)" + std::to_string(recordedMs) + "}", offset };
    };
    this->suspectStore.onRecord(makeRecord(nowMs, 0));
    UNSIGNED_LONGS_EQUAL(1, this->suspects.crashCount("f"));
    this->suspectStore.onRecord({ "f/1", std::nullopt, 1 });
    this->suspectStore.onRecord(makeRecord(nowMs, 2));
    UNSIGNED_LONGS_EQUAL(0, this->suspects.crashCount("f"));
    // A crash that was seen after the removal counts.
    this->suspectStore.onRecord(makeRecord(nowMs + 20'000, 3));
    UNSIGNED_LONGS_EQUAL(1, this->suspects.crashCount("f"));
}
