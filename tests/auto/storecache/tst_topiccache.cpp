#include <storecache/topiccache.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace StoreCache;

namespace {

// Generates a topic of the store: records of a few keys, some of which delete their key.
std::vector<KeyedRecord> generateTopic()
{
    const auto keysAndKinds = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
    std::vector<KeyedRecord> topic;
    for (std::size_t i = 0; i < keysAndKinds.size(); ++i) {
        KeyedRecord record { std::string(1, static_cast<char>('a' + keysAndKinds[i].first)), std::nullopt, i };
        if (keysAndKinds[i].second)
            record.value = std::to_string(i);
        topic.push_back(std::move(record));
    }
    return topic;
}

std::map<std::string, std::string> cachedValues(const TopicCache& cache)
{
    std::map<std::string, std::string> values;
    for (const auto& [key, record] : cache.all()) {
        if (record.value)
            values[key] = *record.value;
    }
    return values;
}

std::map<std::string, std::string> expectedValues(const std::vector<KeyedRecord>& topic)
{
    std::map<std::string, std::string> values;
    for (const KeyedRecord& record : topic) {
        if (record.value)
            values[record.key] = *record.value;
        else
            values.erase(record.key);
    }
    return values;
}

} // namespace

TEST_GROUP(TopicCacheTest) {};

TEST(TopicCacheTest, mergeOrderDoesNotMatter)
{
    CHECK_TRUE(rc::check([] {
        const auto topic = generateTopic();
        auto shuffled = topic;
        const auto seed = *rc::gen::arbitrary<unsigned>();
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(seed));
        TopicCache cache({});
        for (const KeyedRecord& record : shuffled)
            cache.merge(TopicUpdate::range(0, { record }, 0));
        RC_ASSERT(cachedValues(cache) == expectedValues(topic));
    }));
}

TEST(TopicCacheTest, recordsFromAnEndBringAnotherCacheUpToDate)
{
    CHECK_TRUE(rc::check([] {
        const auto topic = generateTopic();
        const auto split = *rc::gen::inRange<std::size_t>(0, topic.size() + 1);
        TopicCache ahead({});
        ahead.merge(TopicUpdate::range(0, topic, topic.size()));
        TopicCache behind({});
        behind.merge(
            TopicUpdate::range(0, { topic.begin(), topic.begin() + static_cast<std::ptrdiff_t>(split) }, split));
        behind.merge(ahead.updateFrom(behind.end()));
        RC_ASSERT(cachedValues(behind) == expectedValues(topic));
        RC_ASSERT(behind.end() == topic.size());
    }));
}

TEST(TopicCacheTest, aListingDeletesTheKeysThatItLacks)
{
    TopicCache cache({});
    cache.merge(TopicUpdate::range(0, { { "a", "1", 0 }, { "b", "2", 1 } }, 2));
    cache.merge(TopicUpdate::listing({ { "b", "3", 5 } }, 6));
    POINTERS_EQUAL(nullptr, cache.find("a"));
    STRCMP_EQUAL("3", cache.find("b")->value->c_str());
    UNSIGNED_LONGS_EQUAL(6, cache.end());
}

TEST(TopicCacheTest, aListingKeepsRecordsWrittenAfterItBegan)
{
    TopicCache cache({});
    cache.merge(TopicUpdate::range(0, { { "new", "1", 9 } }, 0));
    cache.merge(TopicUpdate::listing({}, 6));
    CHECK_TRUE(cache.find("new") != nullptr);
}

TEST(TopicCacheTest, anOlderRecordIsIgnored)
{
    int changes = 0;
    TopicCache cache([&changes](const KeyedRecord&) { ++changes; });
    cache.merge(TopicUpdate::range(0, { { "k", "new", 7 } }, 8));
    LONGS_EQUAL(1, changes);
    cache.merge(TopicUpdate::range(0, { { "k", "old", 6 } }, 8));
    LONGS_EQUAL(1, changes);
    cache.merge(TopicUpdate::range(0, { { "k", "new", 7 } }, 8));
    STRCMP_EQUAL("new", cache.find("k")->value->c_str());
    LONGS_EQUAL(1, changes);
}
