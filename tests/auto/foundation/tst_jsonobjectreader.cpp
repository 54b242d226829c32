#include <foundation/jsonobjectreader.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Foundation;

namespace {

std::vector<std::string> findErrors(const std::string& text)
{
    const auto located = parseLocatedJson("test.json", text, ResultCode::SettingsInvalid);
    CHECK_TRUE(located.has_value());
    std::vector<std::string> errors;
    JsonObjectReader root(located.value(), "", errors);
    root.text("name");
    root.integer("count", 1, 10, 5);
    for (JsonObjectReader& item : root.objects("items")) {
        item.text("name");
        item.rejectUnknownKeys();
    }
    root.rejectUnknownKeys();
    return errors;
}

} // namespace

TEST_GROUP(JsonObjectReader) {};

TEST(JsonObjectReader, acceptsValidJsonWithComments)
{
    CHECK_TRUE(findErrors("{\n  // a comment\n  \"name\": \"x\", \"count\": 3 /* more */\n}").empty());
}

TEST(JsonObjectReader, reportsTheLineOfAnUnknownKey)
{
    const auto errors = findErrors("{\n  \"name\": \"x\",\n\n  \"colour\": 1\n}");
    LONGS_EQUAL(1, errors.size());
    STRCMP_EQUAL("test.json:4: key '/colour' is unknown", errors[0].c_str());
}

TEST(JsonObjectReader, reportsTheLineOfAWrongValueInAList)
{
    const auto errors
        = findErrors("{\n \"name\": \"x\",\n \"items\": [\n  { \"name\": \"a\" },\n  { \"name\": 7 }\n ]\n}");
    LONGS_EQUAL(1, errors.size());
    STRCMP_EQUAL("test.json:5: key '/items/1/name' must be a non-empty string", errors[0].c_str());
}

TEST(JsonObjectReader, rejectsValuesOutOfRangeAndMissingKeys)
{
    const auto errors = findErrors("{\n \"count\": 11\n}");
    LONGS_EQUAL(2, errors.size());
    STRCMP_EQUAL("test.json:1: key '/name' is required", errors[0].c_str());
    STRCMP_EQUAL("test.json:2: key '/count' must be a whole number from 1 to 10", errors[1].c_str());
}

TEST(JsonObjectReader, reportsTheLineOfASyntaxError)
{
    const auto located = parseLocatedJson("test.json", "{\n \"a\": 1,\n \"b\" 2\n}", ResultCode::SettingsInvalid);
    CHECK_FALSE(located.has_value());
    CHECK_TRUE(located.error().message.starts_with("test.json:3: syntax error"));
}
