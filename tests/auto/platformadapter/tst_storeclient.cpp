#include "platform/storeclient.h"

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace PlatformAdapter;

namespace {

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(number >> shift & 0xff);
    return text;
}

std::string encodeRecord(std::string_view key, std::string_view value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + std::string(key) + std::string(value);
    return bigEndian(content.size(), 4) + content;
}

} // namespace

TEST_GROUP(StoreClientTest) {};

TEST(StoreClientTest, numbersRecordsFromTheRequestedOffset)
{
    const auto range
        = decodeRange(40, bigEndian(42, 8) + bigEndian(0, 8) + encodeRecord("k", "v") + encodeRecord("gone", ""));
    CHECK_TRUE(range.has_value());
    UNSIGNED_LONGS_EQUAL(42, range->end);
    UNSIGNED_LONGS_EQUAL(2, range->records.size());
    UNSIGNED_LONGS_EQUAL(40, range->records[0].offset);
    STRCMP_EQUAL("v", range->records[0].value->c_str());
    CHECK_FALSE(range->records[1].value.has_value());
}

TEST(StoreClientTest, anEmptyAnswerKeepsTheOffset)
{
    const auto range = decodeRange(9, bigEndian(9, 8) + bigEndian(0, 8));
    UNSIGNED_LONGS_EQUAL(9, range->end);
    CHECK_TRUE(range->records.empty());
}

TEST(StoreClientTest, doesNotDecodeATruncatedRecord)
{
    const std::string complete = bigEndian(42, 8) + bigEndian(0, 8) + encodeRecord("key", "value");
    for (std::size_t size = 0; size < complete.size(); ++size) {
        const auto range = decodeRange(41, std::string_view(complete).substr(0, size));
        CHECK_TRUE(!range || range->end == 41);
    }
}

TEST(StoreClientTest, decodesOrRejectsArbitraryBytes)
{
    CHECK_TRUE(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const auto range = decodeRange(0, bytes);
        RC_ASSERT(!range || range->records.size() <= range->end);
    }));
}
