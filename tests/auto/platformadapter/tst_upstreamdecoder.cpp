#include "platform/upstreamdecoder.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace PlatformAdapter;
using namespace std::chrono_literals;

namespace {

constexpr const char* testEntry = R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":16,
    "state":"ready","cold_left_ms":250,"born":1787726340335,"sequence":4})";

std::string testEntryWith(const std::string& from, const std::string& to)
{
    std::string text = testEntry;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_GROUP(UpstreamDecoderTest) {};

TEST(UpstreamDecoderTest, decodesAnEntry)
{
    const auto entry = decodeUpstream("i-1", testEntry);
    CHECK_TRUE(entry.has_value());
    STRCMP_EQUAL("i-1", entry->id.c_str());
    STRCMP_EQUAL("10.0.0.9:8080", entry->address.c_str());
    LONGS_EQUAL(16, entry->slots);
    CHECK_TRUE(entry->coldLeft == 250ms);
    CHECK_TRUE(entry->startedAtMs == 1787726340335);
    CHECK_FALSE(entry->isDraining);
    CHECK_TRUE(decodeUpstream("i-1", testEntryWith("ready", "draining"))->isDraining);
}

TEST(UpstreamDecoderTest, rejectsEntriesOfOtherWriters)
{
    CHECK_FALSE(decodeUpstream("i", testEntryWith("\"ready\"", "\"asleep\"")).has_value());
    CHECK_FALSE(decodeUpstream("i", testEntryWith("\"slots\":16,", "")).has_value());
    CHECK_FALSE(decodeUpstream("i", testEntryWith("16", "\"16\"")).has_value());
    CHECK_FALSE(decodeUpstream("i", testEntryWith("1787726340335", "1.5")).has_value());
    CHECK_FALSE(decodeUpstream("i", testEntryWith("\"10.0.0.9:8080\"", "17")).has_value());
    CHECK_FALSE(decodeUpstream("i", "\xff\xfe").has_value());
}

TEST(UpstreamDecoderTest, decodesOrRejectsCorruptedEntries)
{
    CHECK_TRUE(rc::check([] {
        std::string text = testEntry;
        const auto changes = *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
            rc::gen::pair(rc::gen::inRange<std::size_t>(0, text.size()), rc::gen::arbitrary<char>()));
        for (const auto& [position, byte] : changes)
            text[position] = byte;
        const auto entry = decodeUpstream("i", text);
        RC_ASSERT(!entry || entry->slots >= 1);
    }));
}
