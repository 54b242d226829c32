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
    LONGS_EQUAL(4, entry->sequence);
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

TEST(UpstreamDecoderTest, rejectsEntriesWithNumbersThatAreTooLarge)
{
    for (const char* const slots : { "4294967296", "1e300", "-1e300", "18446744073709551615", "1e400" })
        CHECK_FALSE(decodeUpstream("i", testEntryWith("16", slots)).has_value());
    for (const char* const born : { "9223372036854775807", "18446744073709551615", "-1", "1e18" })
        CHECK_FALSE(decodeUpstream("i", testEntryWith("1787726340335", born)).has_value());
    for (const char* const cold : { "1e300", "9223372036854775807", "1e18" })
        CHECK_FALSE(decodeUpstream("i", testEntryWith("250", cold)).has_value());
    CHECK_TRUE(decodeUpstream("i", testEntryWith("250", "-5"))->coldLeft == 0ms);
}

TEST(UpstreamDecoderTest, rejectsEntriesWithUnusableAddresses)
{
    for (const char* const address : { "10.0.0.9:99999", "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1",
             "10.0.0.9:", "10.0.0.9", "10.0.0.9:80x", "10.0.0.9: 80", "10.0.0.999:80", "name:80", ":80",
             "10.0.0.9:80/path", "u@10.0.0.9:80", "10.0.0.9:99999999999999999999999" })
        CHECK_FALSE(decodeUpstream("i", testEntryWith("10.0.0.9:8080", address)).has_value());
    CHECK_TRUE(decodeUpstream("i", testEntryWith("10.0.0.9:8080", "10.0.0.9:65535")).has_value());
}

TEST(UpstreamDecoderTest, rejectsDeeplyNestedEntries)
{
    constexpr std::size_t depth = 100'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t i = 0; i < depth; ++i)
        objects += "{\"service\":";
    CHECK_FALSE(decodeUpstream("i", nested).has_value());
    CHECK_FALSE(decodeUpstream("i", std::string(depth, '[')).has_value());
    CHECK_FALSE(decodeUpstream("i", objects + "1" + std::string(depth, '}')).has_value());
    // A field that is not read may hold anything.
    CHECK_TRUE(decodeUpstream("i", testEntryWith("\"v1\"", nested)).has_value());
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

// Such an id ended gateways when it was written as JSON, or changed the head of the requests to its address.
TEST(UpstreamDecoderTest, rejectsEntriesWhoseKeyCannotBeWritten)
{
    for (const std::string_view id : { std::string_view(""), std::string_view("w\xf6rker"), std::string_view("i\n1"),
             std::string_view("i\r\nA: b"), std::string_view("i\0", 2), std::string_view("\xff\xfe"),
             std::string_view(" i"), std::string_view("i "), std::string_view("i\x7f") })
        CHECK_FALSE(decodeUpstream(id, testEntry).has_value());
    for (const std::string_view id : { "i-1", "a b", "w\xc3\xb6rker", "10.0.0.1:80/x" })
        CHECK_TRUE(decodeUpstream(id, testEntry).has_value());
}
