#include "../unusedport.h"
#include "standinstore.h"
#include "storesynchronizer.h"

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>

using namespace Gateway;
using namespace std::chrono_literals;

// A gateway that starts while the store may have come back from a copy that still has a removed key.
TEST_GROUP(StartAfterRestoreTest)
{
    asio::io_context context;
    std::uint16_t storePort = unusedPort();
    StandinStore store { this->context, this->storePort };
    Platform::HttpTransfers transfers { this->context };
    Foundation::ManualClock clock;
    Foundation::ManualClock bootClock;
    Foundation::MetricRegistry metrics;
    std::map<std::string, std::string> peerAddresses;
    StoreSynchronizer synchronizer { this->transfers, this->clock, this->bootClock, this->metrics, this->makeSettings(),
        { [] {}, [](const std::string&) {}, [this](const auto& addresses) { this->peerAddresses = addresses; },
            [](const Wire::StoreCacheQuery&) { return true; }, [](const Wire::StoreCacheReply&) {}, [](const auto&) {},
            [](Foundation::Duration) {}, [] { return 0; } } };

    void setup() override
    {
        this->runFor(50ms);
        this->store.start();
        this->store.put("keyed.op", "config", R"({"version": 1})");
    }

    GatewaySettings makeSettings() const
    {
        GatewaySettings settings;
        settings.node.name = "gateway-2";
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
            this->bootClock.advance(50ms);
            this->synchronizer.tick();
            this->context.restart();
            this->context.run_for(5ms);
        }
    }

    // The store comes back from a copy that a running gateway and its era were written to.
    void restore()
    {
        this->store.put("keyed.peers", "gateway-1", "127.0.0.1:1");
        this->store.put("keyed.peers", "era/settled", "1");
        this->store.takeCopy();
        this->store.put("keyed.op", "config", R"({"version": 2})");
        this->store.restoreCopy();
    }

    void start(Foundation::Duration time)
    {
        this->synchronizer.start();
        this->runFor(time);
    }
};

// Callers ran ten unsafe calls with a key that had been removed 5.1 to 6.6 s before.
TEST(StartAfterRestoreTest, keysOfACopyAreNotAcceptedBeforeTheOperatorHadTimeToWriteAgain)
{
    this->restore();
    this->start(2'300ms);
    LONGS_EQUAL(1, this->synchronizer.policy()->version());
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
    this->store.put("keyed.op", "config", R"({"version": 2})");
    this->runFor(700ms);
    CHECK_TRUE(this->synchronizer.canAcceptKeys());
    LONGS_EQUAL(2, this->synchronizer.policy()->version());
}

TEST(StartAfterRestoreTest, anEmptyListOfGatewaysInALaterEraIsNoProof)
{
    this->store.takeCopy();
    this->store.restoreCopy();
    this->start(1s);
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
}

TEST(StartAfterRestoreTest, keysOfADocumentOlderThanThatOfAPeerAreNotAccepted)
{
    this->restore();
    this->start(300ms);
    Wire::StoreCacheReply reply;
    reply.hasCachedState = true;
    reply.era = 2;
    reply.operatorUpdate.end = 1;
    reply.policyVersion = 2;
    this->synchronizer.onReply(reply);
    this->runFor(5s);
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
    this->store.put("keyed.op", "config", R"({"version": 2})");
    this->runFor(300ms);
    CHECK_TRUE(this->synchronizer.canAcceptKeys());
}

TEST(StartAfterRestoreTest, aPeerWhoseCopyIsSettledEndsTheWait)
{
    this->restore();
    this->start(300ms);
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
    Wire::StoreCacheReply reply;
    reply.hasCachedState = true;
    reply.isSettled = true;
    reply.era = 2;
    reply.operatorUpdate.end = 1;
    this->synchronizer.onReply(reply);
    CHECK_TRUE(this->synchronizer.canAcceptKeys());
}

// Guards against gateways that become ready late, since all may start at once after a loss of power.
TEST(StartAfterRestoreTest, firstAndLaterStartsDoNotWait)
{
    this->store.takeCopy();
    this->start(200ms);
    CHECK_TRUE(this->synchronizer.canAcceptKeys());
    CHECK_TRUE(this->store.contains("keyed.peers", "era/settled"));
    LONGS_EQUAL(1, this->store.appends);
    this->runFor(200ms);
    CHECK_FALSE(this->peerAddresses.contains("era/settled"));
    Foundation::MetricRegistry otherMetrics;
    StoreSynchronizer restarted { this->transfers, this->clock, this->bootClock, otherMetrics, this->makeSettings(),
        { [] {}, [](const std::string&) {}, [](const auto&) {}, [](const Wire::StoreCacheQuery&) { return true; },
            [](const Wire::StoreCacheReply&) {}, [](const auto&) {}, [](Foundation::Duration) {}, [] { return 0; } } };
    restarted.start();
    this->runFor(200ms);
    CHECK_TRUE(restarted.canAcceptKeys());
    LONGS_EQUAL(1, this->store.appends);
}

TEST(StartAfterRestoreTest, aGatewayThatHasWaitedRecordsTheEraForThoseThatStartLater)
{
    this->restore();
    this->start(3'500ms);
    LONGS_EQUAL(2, this->store.appends);
    Foundation::MetricRegistry otherMetrics;
    StoreSynchronizer later { this->transfers, this->clock, this->bootClock, otherMetrics, this->makeSettings(),
        { [] {}, [](const std::string&) {}, [](const auto&) {}, [](const Wire::StoreCacheQuery&) { return true; },
            [](const Wire::StoreCacheReply&) {}, [](const auto&) {}, [](Foundation::Duration) {}, [] { return 0; } } };
    later.start();
    this->runFor(200ms);
    CHECK_TRUE(later.canAcceptKeys());
}
