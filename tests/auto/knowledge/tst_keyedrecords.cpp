#include <knowledge/keyedrecords.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace Knowledge;

namespace {

// A topic as the store keeps it: records of a few keys, some of which drop their key.
std::vector<KeyedRecord> anyTopic()
{
    const auto drafts = *rc::gen::container<std::vector<std::pair<int, bool>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
    std::vector<KeyedRecord> topic;
    for (std::size_t i = 0; i < drafts.size(); ++i) {
        KeyedRecord record { std::string(1, static_cast<char>('a' + drafts[i].first)), std::nullopt, i };
        if (drafts[i].second)
            record.value = std::to_string(i);
        topic.push_back(std::move(record));
    }
    return topic;
}

std::map<std::string, std::string> valuesOf(const KeyedRecords& records)
{
    std::map<std::string, std::string> values;
    for (const auto& [key, record] : records.all()) {
        if (record.value)
            values[key] = *record.value;
    }
    return values;
}

std::map<std::string, std::string> foldOf(const std::vector<KeyedRecord>& topic)
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

TEST_GROUP(KeyedRecordsTest) {};

TEST(KeyedRecordsTest, recordsMayBeMergedInAnyOrder)
{
    CHECK_TRUE(rc::check([] {
        const auto topic = anyTopic();
        auto shuffled = topic;
        const auto seed = *rc::gen::arbitrary<unsigned>();
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(seed));
        KeyedRecords records({});
        for (const KeyedRecord& record : shuffled)
            records.merge(record);
        RC_ASSERT(valuesOf(records) == foldOf(topic));
    }));
}

TEST(KeyedRecordsTest, aProcessThatAsksAnotherOneCatchesUp)
{
    CHECK_TRUE(rc::check([] {
        const auto topic = anyTopic();
        const auto split = *rc::gen::inRange<std::size_t>(0, topic.size() + 1);
        KeyedRecords ahead({});
        ahead.mergeRun(topic, topic.size());
        KeyedRecords behind({});
        behind.mergeRun({ topic.begin(), topic.begin() + static_cast<std::ptrdiff_t>(split) }, split);
        behind.mergeRun(ahead.newerThan(behind.end()), ahead.end());
        RC_ASSERT(valuesOf(behind) == foldOf(topic));
        RC_ASSERT(behind.end() == topic.size());
    }));
}

TEST(KeyedRecordsTest, aListingDropsTheKeysThatItLacks)
{
    KeyedRecords records({});
    records.mergeRun({ { "a", "1", 0 }, { "b", "2", 1 } }, 2);
    records.mergeListing({ { "b", "3", 5 } }, 6);
    POINTERS_EQUAL(nullptr, records.find("a"));
    STRCMP_EQUAL("3", records.find("b")->value->c_str());
    UNSIGNED_LONGS_EQUAL(6, records.end());
}

TEST(KeyedRecordsTest, aListingKeepsWhatWasWrittenAfterItBegan)
{
    KeyedRecords records({});
    records.merge({ "new", "1", 9 });
    records.mergeListing({}, 6);
    CHECK_TRUE(records.find("new") != nullptr);
}

TEST(KeyedRecordsTest, anOlderRecordChangesNothing)
{
    int changes = 0;
    KeyedRecords records([&changes](const KeyedRecord&) { ++changes; });
    CHECK_TRUE(records.merge({ "k", "new", 7 }));
    CHECK_FALSE(records.merge({ "k", "old", 6 }));
    CHECK_FALSE(records.merge({ "k", "new", 7 }));
    STRCMP_EQUAL("new", records.find("k")->value->c_str());
    LONGS_EQUAL(1, changes);
}
