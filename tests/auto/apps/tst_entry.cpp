#include <entry/callerreply.h>
#include <entry/entrysettings.h>
#include <entry/promptfields.h>

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

#include <string>

using namespace Entry;

TEST_GROUP(EntryParts) {};

TEST(EntryParts, parsesOnlyTopLevelPromptFields)
{
    const auto fields = parsePromptFields(
        R"({"messages":[{"role":"user","content":"x","model":"inner"}],"model":"m","stream":true,"max_tokens":7})");
    STRCMP_EQUAL("m", fields->model.c_str());
    CHECK_TRUE(fields->stream);
    LONGS_EQUAL(7, fields->maximumTokens);
}

TEST(EntryParts, rejectsMalformedPrompts)
{
    CHECK_FALSE(parsePromptFields("").has_value());
    CHECK_FALSE(parsePromptFields("[]").has_value());
    CHECK_FALSE(parsePromptFields("7").has_value());
    CHECK_FALSE(parsePromptFields(R"({"messages":[]})").has_value());
    CHECK_FALSE(parsePromptFields(R"({"model":7})").has_value());
    CHECK_FALSE(parsePromptFields(R"({"model":"m","stream":"yes"})").has_value());
    CHECK_FALSE(parsePromptFields(R"({"model":"m","max_tokens":0})").has_value());
    CHECK_FALSE(parsePromptFields(R"({"model":"m","max_tokens":99999999999})").has_value());
    CHECK_FALSE(parsePromptFields(R"({"model":"m","max_tokens":[1]})").has_value());
    CHECK_FALSE(parsePromptFields(R"({"model":"m")").has_value());
}

TEST(EntryParts, errorReplyHasCodeOutcomeAndRetryAfter)
{
    const auto reply
        = errorReply({ Foundation::ResultCode::QueueFull, Foundation::RunOutcome::NotRun, 1'200, "" }, "r-1");
    LONGS_EQUAL(429, reply.status);
    const auto body = nlohmann::json::parse(reply.body);
    LONGS_EQUAL(2004, body["error"]["code"].get<int>());
    STRCMP_EQUAL("not-run", body["error"]["outcome"].get<std::string>().c_str());
    bool hasRetryAfter = false;
    for (const auto& header : reply.headers)
        hasRetryAfter = hasRetryAfter || (header.name == "Retry-After" && header.value == "2");
    CHECK_TRUE(hasRetryAfter);
}

TEST(EntryParts, rejectsUnknownAndContradictorySettings)
{
    const std::string valid = R"({"instance":"e","failureDomain":"d","token":"t","logUrl":"u","instanceListUrl":"v"})";
    CHECK_TRUE(parseEntrySettings("s.json", valid).has_value());
    const auto unknown = parseEntrySettings("s.json", valid.substr(0, valid.size() - 1) + ",\n\"thread\":3}");
    STRCMP_EQUAL("s.json:2: key '/thread' is unknown", unknown.error().message.c_str());
    CHECK_FALSE(
        parseEntrySettings("s.json", valid.substr(0, valid.size() - 1) + R"(,"connectionTimeoutMs":600})").has_value());
}
