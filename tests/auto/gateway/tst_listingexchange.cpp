#include "../unusedport.h"
#include "standinstore.h"
#include "storesynchronizer.h"

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>

#include <vector>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

std::string makeEntry(int sequence, const char* state = "ready")
{
    return R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"cold_left_ms":0,"born":1,"state":")"
        + std::string(state) + R"(","sequence":)" + std::to_string(sequence) + "}";
}

} // namespace

// Gateways of one failure domain. Some have read the store's topics as a listing, which does not show what was deleted.
TEST_GROUP(ListingExchangeTest)
{
    /** A gateway's view of the store. Keeps what it sends to its domain peers. */
    struct Peer {
        explicit Peer(const Foundation::Clock& clock, Platform::HttpTransfers& transfers, GatewaySettings settings)
            : synchronizer(transfers, clock, clock, this->metrics, settings,
                { [] {}, [](const std::string&) {}, [](const auto&) {},
                    [](const Wire::StoreCacheQuery&) { return true; },
                    [this](const Wire::StoreCacheReply& update) { this->sentUpdates.push_back(update); },
                    [](const auto&) {}, [](Foundation::Duration) {}, [] { return std::size_t { 0 }; } })
        {
        }

        bool isListed(const char* id) { return this->synchronizer.directory().find(id) != nullptr; }
        bool acceptsRequests(const char* id)
        {
            const Membership::Upstream* const upstream = this->synchronizer.directory().find(id);
            return upstream && this->synchronizer.directory().acceptsRequests(*upstream);
        }

        bool isEvacuated(const char* domain) { return this->synchronizer.directory().evacuated().contains(domain); }

        Foundation::MetricRegistry metrics;
        std::vector<Wire::StoreCacheReply> sentUpdates;
        StoreSynchronizer synchronizer;
    };

    asio::io_context context;
    std::uint16_t storePort = unusedPort();
    std::uint16_t otherPort = unusedPort();
    StandinStore store { this->context, this->storePort };
    std::size_t otherEntrance = this->store.addEntrance(this->otherPort);
    Platform::HttpTransfers transfers { this->context };
    Foundation::ManualClock clock;
    Peer running { this->clock, this->transfers, makeSettings("gateway-1", this->storePort) };
    Peer started { this->clock, this->transfers, makeSettings("gateway-2", this->otherPort) };
    Peer late { this->clock, this->transfers, makeSettings("gateway-3", this->otherPort) };

    void setup() override
    {
        this->clock.advance(1h);
        this->store.start();
        this->store.put("keyed.op", "config", R"({"version": 1})");
        this->store.put("keyed.op", "evacuate/a", "{}");
        this->store.put("keyed.servers", "leaving", makeEntry(1));
        this->store.put("keyed.servers", "staying", makeEntry(1));
        this->running.synchronizer.start();
        this->runOnly(this->running, 300ms);
        CHECK_TRUE(this->running.isListed("leaving") && this->running.isEvacuated("a"));
    }

    static GatewaySettings makeSettings(const char* name, std::uint16_t port)
    {
        GatewaySettings settings;
        settings.node.name = name;
        settings.node.storeAddress = "127.0.0.1:" + std::to_string(port);
        settings.node.keyRevocationLimit = 5s;
        settings.node.policyApplyLimit = 2s;
        settings.node.drainLimit = 2s;
        return settings;
    }

    /** Lets time pass for one gateway; the others do nothing meanwhile. */
    void runOnly(Peer & peer, Foundation::Duration time)
    {
        for (Foundation::Duration passed {}; passed < time; passed += 50ms) {
            this->clock.advance(50ms);
            peer.synchronizer.tick();
            this->context.restart();
            this->context.run_for(5ms);
        }
    }

    /** Starts a gateway, which lists the topics, and returns what it sends to its domain peers. */
    std::vector<Wire::StoreCacheReply> startOther()
    {
        this->started.synchronizer.start();
        this->runOnly(this->started, 300ms);
        CHECK_TRUE(this->started.isListed("staying") && !this->started.sentUpdates.empty());
        return this->started.sentUpdates;
    }
};

// A gateway never read the removal of an upstream that another gateway's start covered, and sent it requests for good.
TEST(ListingExchangeTest, aRemovalBeforeTheListingOfAStartedGatewayIsNotLost)
{
    this->store.removeKey("keyed.servers", "leaving");
    for (const Wire::StoreCacheReply& update : this->startOther())
        this->running.synchronizer.onReply(update);
    this->runOnly(this->running, 2s);
    CHECK_FALSE(this->running.isListed("leaving"));
    CHECK_TRUE(this->running.isListed("staying"));
}

// A gateway that the store turned away kept an evacuation that was over, and refused every request.
TEST(ListingExchangeTest, anEvacuationThatEndedBeforeTheListingOfTheAnsweringGatewayEnds)
{
    this->store.setRefused(0, true);
    this->runOnly(this->running, 500ms);
    this->store.removeKey("keyed.op", "evacuate/a");
    this->startOther();
    this->running.synchronizer.onReply(this->started.synchronizer.answerQuery({ 2, 2, 0, 0 }));
    this->store.setRefused(0, false);
    this->runOnly(this->running, 3s);
    CHECK_FALSE(this->running.isEvacuated("a"));
}

TEST(ListingExchangeTest, aListingThatWasLearnedFromAPeerIsNotPassedOnAsARange)
{
    this->store.removeKey("keyed.servers", "leaving");
    this->startOther();
    // This one starts out of the store's reach.
    this->store.setRefused(this->otherEntrance, true);
    this->late.synchronizer.start();
    this->runOnly(this->late, 200ms);
    this->late.synchronizer.onReply(this->started.synchronizer.answerQuery({ 0, 0, 0, 0 }));
    CHECK_TRUE(this->late.isListed("staying"));
    this->running.synchronizer.onReply(this->late.synchronizer.answerQuery({ 2, 2, 0, 0 }));
    this->runOnly(this->running, 2s);
    CHECK_FALSE(this->running.isListed("leaving"));
}

TEST(ListingExchangeTest, aRemovalIsNotLostWhenTheReaderListsAnExpiredHistory)
{
    this->startOther();
    this->runOnly(this->started, 1s);
    this->store.put("keyed.servers", "short-lived", makeEntry(1));
    this->runOnly(this->running, 1s);
    CHECK_TRUE(this->running.isListed("short-lived"));
    this->started.sentUpdates.clear();
    // The reader sees neither the entry nor its removal.
    this->store.removeKey("keyed.servers", "short-lived");
    this->store.put("keyed.servers", "other", makeEntry(1));
    this->store.expireHistory("keyed.servers");
    this->runOnly(this->started, 2s);
    CHECK_TRUE(this->started.isListed("other"));
    for (const Wire::StoreCacheReply& update : this->started.sentUpdates)
        this->running.synchronizer.onReply(update);
    this->runOnly(this->running, 2s);
    CHECK_FALSE(this->running.isListed("short-lived"));
}

// A heartbeat that the store executed late made a draining upstream ready again.
TEST(ListingExchangeTest, aLateHeartbeatIsIgnoredAndNotPassedOn)
{
    this->store.put("keyed.servers", "leaving", makeEntry(5, "draining"));
    this->runOnly(this->running, 1s);
    CHECK_FALSE(this->running.acceptsRequests("leaving"));
    this->running.sentUpdates.clear();
    this->store.put("keyed.servers", "leaving", makeEntry(2));
    this->runOnly(this->running, 1s);
    CHECK_FALSE(this->running.acceptsRequests("leaving"));
    for (const Wire::StoreCacheReply& update : this->running.sentUpdates)
        UNSIGNED_LONGS_EQUAL(0, update.upstreamUpdate.records.size());
}

// The heartbeat looks like the one before the late one, so it might not be passed on.
TEST(ListingExchangeTest, aGatewayThatListedALateHeartbeatIsToldOfTheNextOne)
{
    this->store.put("keyed.servers", "leaving", makeEntry(5, "draining"));
    this->runOnly(this->running, 1s);
    this->store.put("keyed.servers", "leaving", makeEntry(2));
    this->runOnly(this->running, 1s);
    this->startOther();
    this->running.sentUpdates.clear();
    this->store.put("keyed.servers", "leaving", makeEntry(6, "draining"));
    this->runOnly(this->running, 1s);
    for (const Wire::StoreCacheReply& update : this->running.sentUpdates)
        this->started.synchronizer.onReply(update);
    CHECK_FALSE(this->started.acceptsRequests("leaving"));
}
