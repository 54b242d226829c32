#include "storesynchronizer.h"

#include "../../standins/listenfailure.h"
#include "../unusedport.h"

#include <web/httpserver.h>

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>
#include <rapidcheck.h>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

// No store listens at this address, so all records come from other gateways.
GatewaySettings makeSettings()
{
    GatewaySettings settings;
    settings.node.name = "gateway-1";
    settings.node.storeAddress = "127.0.0.1:1";
    settings.node.keyRevocationLimit = 5s;
    settings.node.policyApplyLimit = 2s;
    return settings;
}

Wire::StoreCacheReply makeUpdate(std::uint64_t from, std::uint64_t end, std::vector<StoreCache::KeyedRecord> records)
{
    Wire::StoreCacheReply update;
    update.hasCachedState = true;
    update.isSettled = true;
    update.operatorUpdate.from = from;
    update.operatorUpdate.end = end;
    update.operatorUpdate.records = std::move(records);
    return update;
}

StoreCache::KeyedRecord makeUpstreamRecord(const char* id, std::uint64_t offset)
{
    return { id,
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready","cold_left_ms":0,"version":"v1","born":1,"sequence":)"
            + std::to_string(offset + 1) + "}",
        offset };
}

} // namespace

TEST_GROUP(StoreSynchronizerTest)
{
    asio::io_context context;
    Platform::HttpTransfers transfers { this->context };
    Foundation::ManualClock clock;
    Foundation::ManualClock bootClock;
    Foundation::MetricRegistry metrics;
    std::vector<Wire::StoreCacheQuery> queries;
    std::size_t domainRank = 1;
    StoreSynchronizer synchronizer { this->transfers, this->clock, this->bootClock, this->metrics, makeSettings(),
        { [] {}, [](const std::string&) {}, [](const auto&) {},
            [this](const Wire::StoreCacheQuery& query) {
                this->queries.push_back(query);
                return true;
            },
            [](const Wire::StoreCacheReply&) {}, [](const auto&) {}, [](Foundation::Duration) {},
            [this] { return this->domainRank; } } };

    void setup() override
    {
        this->clock.advance(1h);
        this->bootClock.advance(1h);
    }

    // A reply of the operator's topic in an era of the store.
    void receiveOperator(std::uint64_t era, std::uint64_t from, std::vector<StoreCache::KeyedRecord> records)
    {
        const std::uint64_t end = from + records.size();
        Wire::StoreCacheReply update = makeUpdate(from, end, std::move(records));
        for (StoreCache::KeyedRecord& record : update.operatorUpdate.records)
            record.era = era;
        update.era = era;
        this->synchronizer.onReply(update);
    }

    void receiveUpstreamsOfEra(std::uint64_t era, std::uint64_t from, std::vector<StoreCache::KeyedRecord> records)
    {
        Wire::StoreCacheReply update;
        update.hasCachedState = true;
        update.era = era;
        update.upstreamUpdate.from = from;
        update.upstreamUpdate.end = from + records.size();
        update.upstreamUpdate.records = std::move(records);
        for (StoreCache::KeyedRecord& record : update.upstreamUpdate.records)
            record.era = era;
        this->synchronizer.onReply(update);
    }

    std::int64_t policyVersion() const { return this->synchronizer.policy()->version(); }
    bool isEvacuated(const char* domain) { return this->synchronizer.directory().evacuated().contains(domain); }

    // An update of the upstreams' topic from a gateway that has been current for so long.
    void receiveUpstreams(std::uint64_t from, std::vector<StoreCache::KeyedRecord> records,
        Foundation::Duration currentFor, Foundation::Duration grace = {}, Foundation::Duration away = {})
    {
        Wire::StoreCacheReply update;
        update.hasCachedState = true;
        update.upstreamUpdate.from = from;
        update.upstreamUpdate.end = from + records.size();
        update.upstreamUpdate.records = std::move(records);
        update.upstreamCurrentForMs = Foundation::toMilliseconds(currentFor);
        update.graceMs = Foundation::toMilliseconds(grace);
        update.upstreamAwayMs = Foundation::toMilliseconds(away);
        this->synchronizer.onReply(update);
    }

    void advance(Foundation::Duration time)
    {
        this->clock.advance(time);
        this->bootClock.advance(time);
    }

    bool isListed(const char* id) { return this->synchronizer.directory().find(id) != nullptr; }

    // Simulates ten seconds in which the store does not answer.
    double countFailuresInOutage()
    {
        this->synchronizer.start();
        for (int i = 0; i < 100; ++i) {
            this->clock.advance(100ms);
            this->bootClock.advance(100ms);
            this->context.restart();
            this->context.run_for(10ms);
            this->synchronizer.tick();
        }
        return static_cast<double>(this->metrics.counter("bluebell_store_failures_total").load());
    }
};

TEST(StoreSynchronizerTest, updatesOfADomainPeerAreMerged)
{
    this->synchronizer.onReply(makeUpdate(0, 3, { { "config", R"({"version": 4})", 2 } }));
    LONGS_EQUAL(4, this->synchronizer.policy()->version());
    CHECK_TRUE(this->synchronizer.canAcceptKeys());
    this->bootClock.advance(5s);
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
}

// A gateway that had been frozen accepted keys by updates that were sent before.
TEST(StoreSynchronizerTest, anUpdateThatIsReadAfterAFreezeIsAsOldAsItsSendTime)
{
    Wire::StoreCacheReply update = makeUpdate(0, 3, { { "config", R"({"version": 4})", 2 } });
    update.sender = "peer";
    const auto receive = [&](std::int64_t sentMs) {
        update.sentMs = sentMs;
        update.operatorAgeMs = 1;
        this->synchronizer.onReply(update);
    };
    receive(7'000);
    this->advance(1s);
    receive(8'000);
    CHECK_TRUE(this->synchronizer.cacheAge() < 100ms);
    this->advance(10s);
    receive(9'000);
    CHECK_TRUE(this->synchronizer.cacheAge() >= 8'900ms);
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
    receive(18'000);
    CHECK_TRUE(this->synchronizer.cacheAge() < 100ms);
}

TEST(StoreSynchronizerTest, anAnswerThatIsReadAfterAFreezeIsAsOldAsItsQuery)
{
    this->synchronizer.start();
    this->advance(10s);
    this->synchronizer.tick();
    Wire::StoreCacheReply answer = makeUpdate(0, 3, { { "config", R"({"version": 4})", 2 } });
    answer.sender = "peer";
    answer.operatorAgeMs = 1;
    answer.querySentMs = this->queries.back().sentMs;
    this->synchronizer.onReply(answer);
    CHECK_TRUE(this->synchronizer.cacheAge() < 100ms);
    this->advance(1s);
    this->synchronizer.tick();
    answer.querySentMs = this->queries.back().sentMs;
    this->advance(9s);
    this->synchronizer.onReply(answer);
    CHECK_TRUE(this->synchronizer.cacheAge() >= 9s);
    CHECK_FALSE(this->synchronizer.canAcceptKeys());
}

TEST(StoreSynchronizerTest, anUpdateAfterAGapIsQueriedAgain)
{
    this->synchronizer.onReply(makeUpdate(0, 3, { { "config", R"({"version": 4})", 2 } }));
    this->bootClock.advance(3s);
    // The update with version 5 was sent while this process was not connected.
    this->synchronizer.onReply(makeUpdate(4, 5, {}));
    CHECK_TRUE(this->synchronizer.isPossiblyStale());
    UNSIGNED_LONGS_EQUAL(1, this->queries.size());
    UNSIGNED_LONGS_EQUAL(3, this->queries.front().operatorEnd);
    this->synchronizer.onReply(makeUpdate(3, 5, { { "config", R"({"version": 5})", 3 } }));
    CHECK_FALSE(this->synchronizer.isPossiblyStale());
    LONGS_EQUAL(5, this->synchronizer.policy()->version());
}

TEST(StoreSynchronizerTest, anOlderDocumentNeverReplacesANewerOne)
{
    this->synchronizer.onReply(makeUpdate(0, 9, { { "config", R"({"version": 7})", 8 } }));
    this->synchronizer.onReply(makeUpdate(0, 3, { { "config", R"({"version": 4})", 2 } }));
    LONGS_EQUAL(7, this->synchronizer.policy()->version());
    this->synchronizer.onReply(makeUpdate(9, 10, { { "config", R"({"version": 6})", 9 } }));
    LONGS_EQUAL(7, this->synchronizer.policy()->version());
}

TEST(StoreSynchronizerTest, aQueryIsAnsweredWithTheMissingRecords)
{
    this->synchronizer.onReply(makeUpdate(0, 9, { { "config", R"({"version": 7})", 8 }, { "evacuate/a", "{}", 2 } }));
    const Wire::StoreCacheReply reply = this->synchronizer.answerQuery({ 5, 0 });
    CHECK_TRUE(reply.hasCachedState);
    UNSIGNED_LONGS_EQUAL(1, reply.operatorUpdate.records.size());
    UNSIGNED_LONGS_EQUAL(5, reply.operatorUpdate.from);
    UNSIGNED_LONGS_EQUAL(9, reply.operatorUpdate.end);
}

// Guards against a retry storm: if thirty gateways each retried three topics four times a second, an outage would cost
// more calls to the store than a whole day without one.
TEST(StoreSynchronizerTest, onlyReadersRetryAtTheShortIntervalInAnOutage)
{
    this->domainRank = 5;
    // Three topics, retried after 250, 500 and 1,000 ms, then every two seconds.
    CHECK_TRUE(this->countFailuresInOutage() <= 3 * 8);
}

TEST(StoreSynchronizerTest, aReaderRetriesAtTheShortIntervalInAnOutage)
{
    this->domainRank = 0;
    const double failures = this->countFailuresInOutage();
    // Two topics, retried at least every 500 ms; the bounds leave time for the calls on a slow machine.
    CHECK_TRUE(failures >= 2 * 12);
    CHECK_TRUE(failures <= 3 * 25);
}

TEST(StoreSynchronizerTest, anUpstreamThatLeftWhileOnlySomeGatewaysWereTurnedAwayIsRemovedAtOnce)
{
    this->synchronizer.start();
    this->receiveUpstreams(0, { makeUpstreamRecord("x", 0) }, 60s);
    // This gateway and the reader of its failure domain lose the store, and the reader is the first to be back.
    this->advance(7s);
    this->receiveUpstreams(1, { { "x", std::nullopt, 1 } }, 100ms, 2'500ms, 7s);
    CHECK_TRUE(this->isListed("x"));
    this->advance(100ms);
    this->receiveUpstreams(2, {}, 60s);
    CHECK_FALSE(this->isListed("x"));
}

TEST(StoreSynchronizerTest, aGatewayThatReachedTheStoreAllTheWhileTakesNoGracePeriodFromOthers)
{
    this->synchronizer.start();
    this->receiveUpstreams(0, { makeUpstreamRecord("x", 0) }, 60s);
    for (int i = 0; i < 10; ++i) {
        this->advance(1s);
        this->receiveUpstreams(1, {}, 60s);
    }
    this->receiveUpstreams(1, { { "x", std::nullopt, 1 } }, 100ms, 2'500ms, 7s);
    CHECK_FALSE(this->isListed("x"));
}

TEST(StoreSynchronizerTest, anEntryThatExpiredInAnOutageForAllStaysInUseForTheGracePeriod)
{
    this->synchronizer.start();
    this->receiveUpstreams(0, { makeUpstreamRecord("x", 0) }, 60s);
    this->advance(7s);
    this->receiveUpstreams(1, { { "x", std::nullopt, 1 } }, 100ms, 2'500ms, 7s);
    // Another gateway that was away as well, and one that is still away.
    this->receiveUpstreams(2, {}, 200ms);
    Wire::StoreCacheReply stillAway;
    stillAway.hasCachedState = true;
    stillAway.upstreamCurrentForMs = 60'000;
    stillAway.upstreamAgeMs = 7'100;
    this->synchronizer.onReply(stillAway);
    CHECK_TRUE(this->isListed("x"));
    this->advance(3s);
    this->synchronizer.tick();
    CHECK_FALSE(this->isListed("x"));
}

TEST(StoreSynchronizerTest, aPolicyDoesNotRevertWhenTheStoreComesBackFromACopyAndTheNextOneIsInForce)
{
    this->synchronizer.start();
    this->receiveOperator(1, 0,
        { { "config", R"({"version": 4})", 0 }, { "config", R"({"version": 5})", 1 },
            { "config", R"({"version": 7})", 2 } });
    LONGS_EQUAL(7, this->policyVersion());
    this->receiveOperator(2, 0, { { "config", R"({"version": 4})", 0 } });
    LONGS_EQUAL(7, this->policyVersion());
    // At an offset that an earlier version had.
    this->receiveOperator(2, 1, { { "config", R"({"version": 8})", 1 } });
    LONGS_EQUAL(8, this->policyVersion());
}

TEST(StoreSynchronizerTest, aReplyOfAnEarlierEraIsIgnored)
{
    this->synchronizer.start();
    this->receiveOperator(2, 0, { { "config", R"({"version": 4})", 0 } });
    this->receiveOperator(1, 0, { { "config", R"({"version": 9})", 50 } });
    LONGS_EQUAL(4, this->policyVersion());
}

TEST(StoreSynchronizerTest, anUpdateOfALaterEraIsQueriedFromItsBeginning)
{
    this->synchronizer.start();
    this->receiveOperator(1, 0, { { "config", R"({"version": 4})", 0 } });
    this->receiveOperator(2, 5, { { "config", R"({"version": 6})", 5 } });
    UNSIGNED_LONGS_EQUAL(0, this->queries.back().operatorEnd);
    UNSIGNED_LONGS_EQUAL(2, this->queries.back().era);
    LONGS_EQUAL(4, this->policyVersion());
}

TEST(StoreSynchronizerTest, aQueryOfAnotherEraIsAnsweredWithAllRecords)
{
    this->synchronizer.start();
    this->receiveOperator(2, 0, { { "config", R"({"version": 4})", 0 }, { "evacuate/a", "{}", 1 } });
    const Wire::StoreCacheReply reply = this->synchronizer.answerQuery({ 90, 90, 1 });
    UNSIGNED_LONGS_EQUAL(2, reply.operatorUpdate.records.size());
    UNSIGNED_LONGS_EQUAL(0, reply.operatorUpdate.from);
    UNSIGNED_LONGS_EQUAL(2, reply.era);
}

TEST(StoreSynchronizerTest, evacuationsStayAsTheyWereUntilTheOperatorHadTimeToWriteThemAgain)
{
    this->synchronizer.start();
    this->receiveOperator(1, 0,
        { { "evacuate/a", "{}", 0 }, { "evacuate/b", "{}", 1 }, { "evacuate/b", std::nullopt, 2 },
            { "evacuate/c", "{}", 3 } });
    CHECK_TRUE(this->isEvacuated("a") && !this->isEvacuated("b") && this->isEvacuated("c"));
    // The copy has the evacuation that was ended and lacks one that was begun.
    this->receiveOperator(
        2, 0, { { "evacuate/a", "{}", 0 }, { "evacuate/b", "{}", 1 }, { "evacuate/c", std::nullopt, 2 } });
    CHECK_TRUE(this->isEvacuated("a") && !this->isEvacuated("b") && this->isEvacuated("c"));
    this->receiveOperator(2, 3, { { "evacuate/b", std::nullopt, 3 }, { "evacuate/c", "{}", 4 } });
    this->advance(3s);
    this->synchronizer.tick();
    CHECK_TRUE(this->isEvacuated("a") && !this->isEvacuated("b") && this->isEvacuated("c"));
}

TEST(StoreSynchronizerTest, anEvacuationThatIsNotWrittenAgainEndsAfterTheSettleTime)
{
    this->synchronizer.start();
    this->receiveOperator(1, 0, { { "evacuate/a", "{}", 0 } });
    this->receiveOperator(2, 0, { { "evacuate/a", std::nullopt, 0 } });
    this->advance(3s);
    this->synchronizer.tick();
    CHECK_FALSE(this->isEvacuated("a"));
}

TEST(StoreSynchronizerTest, anEndedUpstreamDoesNotComeBackFromACopyUnlessItWritesItself)
{
    this->synchronizer.start();
    this->receiveUpstreamsOfEra(1, 0, { makeUpstreamRecord("x", 0), { "x", std::nullopt, 1 } });
    this->receiveUpstreamsOfEra(2, 0, { makeUpstreamRecord("x", 0) });
    CHECK_FALSE(this->isListed("x"));
    this->receiveUpstreamsOfEra(2, 1, { makeUpstreamRecord("x", 1) });
    CHECK_FALSE(this->isListed("x"));
    this->receiveUpstreamsOfEra(2, 2, { makeUpstreamRecord("x", 2) });
    CHECK_TRUE(this->isListed("x"));
}

TEST(StoreSynchronizerTest, anUpstreamThatTheCopyLacksStaysInUseForTheGracePeriod)
{
    this->synchronizer.start();
    this->receiveUpstreamsOfEra(1, 0, { makeUpstreamRecord("x", 0) });
    this->receiveUpstreamsOfEra(2, 0, { { "x", std::nullopt, 0 } });
    CHECK_TRUE(this->isListed("x"));
    this->advance(3s);
    this->synchronizer.tick();
    CHECK_FALSE(this->isListed("x"));
}

TEST(StoreSynchronizerTest, answersAfterAnEraChangeDoNotProveThatKeysAreValidBeforeTheOperatorHadTimeToWrite)
{
    this->synchronizer.start();
    this->receiveOperator(1, 0, { { "config", R"({"version": 4})", 0 } });
    this->advance(1s);
    this->receiveOperator(2, 0, { { "config", R"({"version": 4})", 0 } });
    CHECK_TRUE(this->synchronizer.cacheAge() >= 1s);
    this->advance(3s);
    this->receiveOperator(2, 1, {});
    CHECK_TRUE(this->synchronizer.cacheAge() < 1s);
}

TEST(StoreSynchronizerTest, anAddressWhoseWriteWasAcknowledgedInAnEarlierEraIsWrittenAgain)
{
    GatewaySettings settings = makeSettings();
    const auto port = static_cast<std::uint16_t>(unusedPort());
    settings.node.storeAddress = "127.0.0.1:" + std::to_string(port);
    this->synchronizer.setSettings(settings);
    std::string era = "1";
    std::vector<std::shared_ptr<Web::HttpExchange>> writes;
    Web::HttpServer store(
        this->context, { "127.0.0.1", port, 1 << 20 }, [&](const std::shared_ptr<Web::HttpExchange>& exchange) {
            if (exchange->request().path == "/log-append")
                writes.push_back(exchange);
            else
                exchange->respond({ 200, "application/json", { { "Store-Era", era } },
                    R"({"items":[],"has_more":false,"end_offset":0})", false });
        });
    store.start(throwListenFailure(this->context));
    const auto runUntilWrites = [&](std::size_t count) {
        for (int i = 0; i < 200 && writes.size() < count; ++i) {
            this->advance(20ms);
            this->synchronizer.tick();
            this->context.restart();
            this->context.run_for(10ms);
        }
        return writes.size() >= count;
    };
    this->synchronizer.start();
    CHECK_TRUE(runUntilWrites(1));
    // Another gateway sees the store come back while the acknowledgement is under way.
    this->receiveOperator(2, 0, {});
    writes[0]->respond({ 200, "application/json", { { "Store-Era", "1" } }, "{}", false });
    era = "2";
    CHECK_TRUE(runUntilWrites(2));
}

TEST(StoreSynchronizerTest, anyOrderOfRepliesOverAnyNumberOfErasEndsInTheNewestPolicyAndNeverRevertsOne)
{
    CHECK_TRUE(rc::check([] {
        // In each era the store holds the versions of its copy and those written since; each version is written once
        // more after it was lost.
        std::vector<std::vector<int>> eras { {} };
        int newest = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
        for (const int step : steps) {
            if (step != 0) {
                eras.back().push_back(++newest);
                continue;
            }
            std::vector<int> copy = eras.back();
            copy.resize(copy.size() - std::min<std::size_t>(copy.size(), 2));
            if (newest > 0)
                copy.push_back(newest);
            eras.push_back(copy);
        }
        asio::io_context context;
        Platform::HttpTransfers transfers { context };
        Foundation::ManualClock clock;
        Foundation::MetricRegistry metrics;
        StoreSynchronizer synchronizer { transfers, clock, clock, metrics, makeSettings(),
            { [] {}, [](const std::string&) {}, [](const auto&) {}, [](const auto&) { return true; },
                [](const auto&) {}, [](const auto&) {}, [](Foundation::Duration) {},
                [] { return std::size_t { 1 }; } } };
        clock.advance(1h);
        std::int64_t highest = 0;
        const auto receive = [&](std::size_t era, std::size_t count) {
            std::vector<StoreCache::KeyedRecord> records;
            if (count > 0)
                records.push_back(
                    { "config", R"({"version": )" + std::to_string(eras[era][count - 1]) + "}", count - 1, era + 1 });
            Wire::StoreCacheReply reply = makeUpdate(0, count, std::move(records));
            reply.era = era + 1;
            synchronizer.onReply(reply);
            const std::int64_t version = synchronizer.policy() ? synchronizer.policy()->version() : 0;
            RC_ASSERT(version >= highest);
            highest = version;
        };
        const auto deliveries = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 1'000), rc::gen::inRange(0, 1'000)));
        for (const auto& [eraDraw, countDraw] : deliveries) {
            const std::size_t era = static_cast<std::size_t>(eraDraw) % eras.size();
            receive(era, static_cast<std::size_t>(countDraw) % (eras[era].size() + 1));
        }
        receive(eras.size() - 1, eras.back().size());
        RC_ASSERT(highest == newest);
    }));
}
