#include <storecache/topiccache.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <optional>

using namespace StoreCache;

namespace {

constexpr std::size_t cacheCount = 3;

// A keyed topic that several caches read, and what they send each other. A message may be lost, late or repeated.
class Exchange {
public:
    void append(int key, bool isDeletion)
    {
        const std::uint64_t offset = this->log.size();
        KeyedRecord record { keyOf(key), std::nullopt, offset, this->era };
        if (!isDeletion)
            record.value = std::to_string(this->era) + "." + std::to_string(offset);
        this->log.push_back(std::move(record));
    }

    void takeCopy() { this->copy = this->log; }

    /** Brings the topic back from its copy, which lacks what was written since. */
    void restore()
    {
        this->log = this->copy;
        ++this->era;
        for (KeyedRecord& record : this->log)
            record.era = this->era;
    }

    /** Lists the topic in two pages. The change is written between them. */
    void list(std::size_t reader, int changedKey, bool isDeletion)
    {
        const std::uint64_t end = this->log.size();
        std::vector<KeyedRecord> listing = this->newestValues(0, 2);
        this->append(changedKey, isDeletion);
        const std::vector<KeyedRecord> secondPage = this->newestValues(2, 4);
        listing.insert(listing.end(), secondPage.begin(), secondPage.end());
        this->merge(reader, TopicUpdate::listing(std::move(listing), end, this->era));
    }

    /** Reads at most so many records of what follows. Lists a topic whose era has not been read. */
    void read(std::size_t reader, std::size_t maximum)
    {
        if (!this->isRead(reader)) {
            this->merge(reader, TopicUpdate::listing(this->newestValues(0, 4), this->log.size(), this->era));
            return;
        }
        const std::size_t from = this->caches[reader].end();
        const std::size_t end = std::min(this->log.size(), from + maximum);
        this->merge(reader,
            TopicUpdate::range(from,
                { this->log.begin() + static_cast<std::ptrdiff_t>(from),
                    this->log.begin() + static_cast<std::ptrdiff_t>(end) },
                end, this->era));
    }

    /** Sends what the sender has not published, as far as it knows. */
    void publish(std::size_t sender)
    {
        if (this->readEras[sender] != this->caches[sender].era())
            return;
        auto& published = this->publishedEnds[sender];
        if (published.first != this->caches[sender].era())
            published = { this->caches[sender].era(), 0 };
        this->messages.push_back(this->caches[sender].updateFrom(published.second));
        published.second = this->caches[sender].end();
    }

    /** Answers a question that the asking cache may have sent long ago. */
    void answer(std::size_t sender, std::uint64_t askedEnd)
    {
        if (this->readEras[sender] == this->caches[sender].era())
            this->messages.push_back(this->caches[sender].updateFrom(askedEnd));
    }

    std::uint64_t endOf(std::size_t cache) const { return this->caches[cache].end(); }

    void deliver(std::size_t receiver, std::size_t message)
    {
        if (!this->messages.empty())
            this->merge(receiver, this->messages[message % this->messages.size()]);
    }

    /** Checks what each cache believes of the records before its end. */
    bool isEachCacheRight() const
    {
        for (std::size_t i = 0; i < cacheCount; ++i) {
            for (int key = 0; this->isRead(i) && key < 4; ++key) {
                if (!this->isRight(this->caches[i], keyOf(key)))
                    return false;
            }
        }
        return true;
    }

    bool isEqualToLog(std::size_t cache) const
    {
        std::vector<KeyedRecord> values;
        for (const auto& [key, record] : this->caches[cache].all()) {
            if (record.value)
                values.push_back(record);
        }
        return values == this->newestValues(0, 4);
    }

private:
    static std::string keyOf(int key) { return std::string(1, static_cast<char>('a' + key)); }

    bool isRead(std::size_t cache) const { return this->readEras[cache] == this->era; }

    void merge(std::size_t receiver, TopicUpdate update)
    {
        TopicCache& cache = this->caches[receiver];
        cache.beginEra(update.era);
        const std::uint64_t updateEra = update.era;
        if (cache.merge(std::move(update)))
            this->readEras[receiver] = updateEra;
    }

    const KeyedRecord* newest(const std::string& key, std::uint64_t from, std::uint64_t end) const
    {
        const KeyedRecord* found = nullptr;
        for (std::uint64_t offset = from; offset < std::min<std::uint64_t>(end, this->log.size()); ++offset) {
            if (this->log[offset].key == key)
                found = &this->log[offset];
        }
        return found;
    }

    std::vector<KeyedRecord> newestValues(int firstKey, int endKey) const
    {
        std::vector<KeyedRecord> values;
        for (int key = firstKey; key < endKey; ++key) {
            const KeyedRecord* const record = this->newest(keyOf(key), 0, this->log.size());
            if (record && record->value)
                values.push_back(*record);
        }
        return values;
    }

    bool isRight(const TopicCache& cache, const std::string& key) const
    {
        if (const KeyedRecord* const cached = cache.find(key)) {
            const bool isOfLog
                = cached->era == this->era && cached->offset < this->log.size() && this->log[cached->offset] == *cached;
            return isOfLog && !this->newest(key, cached->offset + 1, cache.end());
        }
        const KeyedRecord* const newestRead = this->newest(key, 0, cache.end());
        if (!newestRead || !newestRead->value)
            return true;
        // A listing lacks a key that is deleted while it is read.
        for (std::uint64_t offset = cache.end(); offset < this->log.size(); ++offset) {
            if (this->log[offset].key == key && !this->log[offset].value)
                return true;
        }
        return false;
    }

    std::vector<KeyedRecord> log;
    std::vector<KeyedRecord> copy;
    std::uint64_t era = 1;
    std::array<TopicCache, cacheCount> caches { TopicCache({}), TopicCache({}), TopicCache({}) };
    /** The eras of which the caches have merged anything; 0 for none. */
    std::array<std::uint64_t, cacheCount> readEras {};
    /** The eras and ends up to which the caches have published. */
    std::array<std::pair<std::uint64_t, std::uint64_t>, cacheCount> publishedEnds {};
    std::vector<TopicUpdate> messages;
};

constexpr int exchangesPerCheck = 20;

void doRandomStep(Exchange& exchange)
{
    const int step = *rc::gen::inRange(0, 20);
    const auto cache = *rc::gen::inRange<std::size_t>(0, cacheCount);
    if (step < 7)
        exchange.append(*rc::gen::inRange(0, 4), *rc::gen::arbitrary<bool>());
    else if (step < 9)
        exchange.list(cache, *rc::gen::inRange(0, 4), *rc::gen::arbitrary<bool>());
    else if (step < 11)
        exchange.read(cache, *rc::gen::inRange<std::size_t>(1, 5));
    else if (step < 13)
        exchange.publish(cache);
    else if (step < 15)
        exchange.answer(cache, exchange.endOf(*rc::gen::inRange<std::size_t>(0, cacheCount)));
    else if (step < 18)
        exchange.deliver(cache, *rc::gen::inRange<std::size_t>(0, 1'000));
    else if (step < 19)
        exchange.takeCopy();
    else
        exchange.restore();
}

void checkRandomExchange()
{
    Exchange exchange;
    const int steps = *rc::gen::inRange(0, 120);
    for (int i = 0; i < steps; ++i) {
        doRandomStep(exchange);
        RC_ASSERT(exchange.isEachCacheRight());
    }
    for (std::size_t cache = 0; cache < cacheCount; ++cache) {
        exchange.read(cache, 1'000);
        RC_ASSERT(exchange.isEachCacheRight());
        RC_ASSERT(exchange.isEqualToLog(cache));
    }
}

} // namespace

TEST_GROUP(TopicExchangeTest) {};

// Guards against caches that take a range as read of which their source did not hold all records.
TEST(TopicExchangeTest, noCacheBelievesWhatTheLogDoesNotSay)
{
    CHECK_TRUE(rc::check([] {
        for (int i = 0; i < exchangesPerCheck; ++i)
            checkRandomExchange();
    }));
}

TEST(TopicExchangeTest, aListingIsNotPassedOnAsARange)
{
    TopicCache started({});
    started.merge(TopicUpdate::listing({ { "b", "2", 1 } }, 6));
    CHECK_TRUE(started.updateFrom(0).isListing());
    CHECK_TRUE(started.updateFrom(5).isListing());
    CHECK_FALSE(started.updateFrom(6).isListing());
    TopicCache other({});
    other.merge(started.updateFrom(0));
    CHECK_TRUE(other.updateFrom(3).isListing());
}

TEST(TopicExchangeTest, aRangeAfterAGapIsIgnored)
{
    TopicCache cache({});
    cache.merge(TopicUpdate::range(0, { { "a", "1", 0 } }, 1));
    CHECK_FALSE(cache.merge(TopicUpdate::range(2, { { "b", "2", 2 } }, 3)));
    POINTERS_EQUAL(nullptr, cache.find("b"));
    UNSIGNED_LONGS_EQUAL(1, cache.end());
}

// An update that was read late brought back a key that had been deleted before the listing.
TEST(TopicExchangeTest, aLateRangeDoesNotBringBackADeletedKey)
{
    TopicCache cache({});
    cache.merge(TopicUpdate::listing({ { "b", "2", 1 } }, 8));
    CHECK_TRUE(cache.merge(TopicUpdate::range(2, { { "a", "1", 3 } }, 5)));
    POINTERS_EQUAL(nullptr, cache.find("a"));
    UNSIGNED_LONGS_EQUAL(8, cache.end());
}

// A deletion that a listing implies must not hide the first record that is written after it.
TEST(TopicExchangeTest, anEmptyListingOfALaterEraDoesNotHideTheFirstRecord)
{
    TopicCache cache({});
    cache.merge(TopicUpdate::range(0, { { "a", "1", 0 } }, 1));
    cache.beginEra(1);
    cache.merge(TopicUpdate::listing({}, 0, 1));
    POINTERS_EQUAL(nullptr, cache.find("a"));
    cache.merge(TopicUpdate::range(0, { { "a", "2", 0, 1 } }, 1, 1));
    CHECK_TRUE(cache.find("a") != nullptr);
}
