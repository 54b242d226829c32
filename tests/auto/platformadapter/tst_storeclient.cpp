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

std::string recordOf(std::string_view key, std::string_view value)
{
    const std::string content = std::string(1, static_cast<char>(key.size())) + std::string(key) + std::string(value);
    return bigEndian(content.size(), 4) + content;
}

} // namespace

TEST_GROUP(StoreClientTest) {};

TEST(StoreClientTest, recordsAreNumberedFromTheOffsetThatWasAsked)
{
    const auto run = decodeRun(40, bigEndian(42, 8) + bigEndian(0, 8) + recordOf("k", "v") + recordOf("gone", ""));
    CHECK_TRUE(run.has_value());
    UNSIGNED_LONGS_EQUAL(42, run->end);
    UNSIGNED_LONGS_EQUAL(2, run->records.size());
    UNSIGNED_LONGS_EQUAL(40, run->records[0].offset);
    STRCMP_EQUAL("v", run->records[0].value->c_str());
    CHECK_FALSE(run->records[1].value.has_value());
}

TEST(StoreClientTest, anEmptyAnswerMovesNothing)
{
    const auto run = decodeRun(9, bigEndian(9, 8) + bigEndian(0, 8));
    UNSIGNED_LONGS_EQUAL(9, run->end);
    CHECK_TRUE(run->records.empty());
}

TEST(StoreClientTest, aCutAnswerIsNoRun)
{
    const std::string whole = bigEndian(42, 8) + bigEndian(0, 8) + recordOf("key", "value");
    for (std::size_t size = 0; size < whole.size(); ++size) {
        const auto run = decodeRun(41, std::string_view(whole).substr(0, size));
        CHECK_TRUE(!run || run->end == 41);
    }
}

TEST(StoreClientTest, anyBytesAreDecodedOrRejected)
{
    CHECK_TRUE(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        const auto run = decodeRun(0, bytes);
        RC_ASSERT(!run || run->records.size() <= run->end);
    }));
}
