#include <configuration/documentdifference.h>
#include <configuration/environmentparser.h>

#include <CppUTest/TestHarness.h>

#include <string>

using namespace Configuration;

namespace {

const std::string validDocument = R"({
    "environment": "trial", // the stage
    "accounts": [ { "name": "a", "keySha256": "0123456789012345678901234567890123456789012345678901234567890123" } ],
    "upstreams": [ { "name": "muse" }, { "name": "book", "kind": "service" } ],
    "models": [ { "name": "muse-llm", "upstreams": [ "muse" ] } ],
    "services": [ { "name": "booking", "upstream": "book", "repeatable": [ "POST /quote" ],
        "nonRepeatable": [ "GET /confirm" ] } ]
})";

std::string parseError(const std::string& text)
{
    const auto document = parseEnvironment("doc.json", text);
    return document ? std::string() : document.error().message;
}

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_GROUP(EnvironmentParser) {};

TEST(EnvironmentParser, acceptsAValidDocument)
{
    const auto document = parseEnvironment("doc.json", validDocument);
    CHECK_TRUE(document.has_value());
    CHECK_TRUE(document.value().findModel("muse-llm") != nullptr);
    CHECK_TRUE(document.value().findAccount("a") != nullptr);
    CHECK_TRUE(document.value().findAccountByKey("nobody") == nullptr);
}

TEST(EnvironmentParser, reportsUnknownKeysWithTheirLine)
{
    STRCMP_EQUAL("doc.json:5: key '/models/0/colour' is unknown",
        parseError(replaceFirst(validDocument, "\"muse-llm\",", "\"muse-llm\", \"colour\": 1,")).c_str());
}

TEST(EnvironmentParser, rejectsDanglingReferences)
{
    const std::string message = parseError(replaceFirst(validDocument, "[ \"muse\" ]", "[ \"muze\" ]"));
    CHECK_TRUE(message.find("which is not an engine upstream") != std::string::npos);
}

TEST(EnvironmentParser, rejectsDuplicateNames)
{
    const std::string twice
        = replaceFirst(validDocument, "{ \"name\": \"muse\" },", "{ \"name\": \"muse\" }, { \"name\": \"muse\" },");
    CHECK_TRUE(parseError(twice).find("contains the name 'muse' more than once") != std::string::npos);
}

TEST(EnvironmentParser, rejectsAKeyWindowThatIsTooShortForTheTimeout)
{
    const std::string shortWindow = replaceFirst(validDocument, "\"environment\"",
        "\"limits\": { \"keyWindowSeconds\": 10, \"maximumTimeoutMs\": 60000 }, \"environment\"");
    CHECK_TRUE(parseError(shortWindow).find("keyWindowSeconds") != std::string::npos);
}

TEST(EnvironmentParser, determinesWhichCallsAreRepeatable)
{
    const auto document = parseEnvironment("doc.json", validDocument);
    const ServiceDefinition& service = *document.value().findService("booking");
    CHECK_TRUE(repeatabilityFor(service, "GET", "/slots") == Repeatability::Repeatable);
    CHECK_TRUE(repeatabilityFor(service, "GET", "/confirm") == Repeatability::NonRepeatable);
    CHECK_TRUE(repeatabilityFor(service, "GET", "/confirm/7") == Repeatability::NonRepeatable);
    CHECK_TRUE(repeatabilityFor(service, "GET", "/confirmation") == Repeatability::Repeatable);
    CHECK_TRUE(repeatabilityFor(service, "POST", "/holds") == Repeatability::NonRepeatable);
    CHECK_TRUE(repeatabilityFor(service, "POST", "/quote") == Repeatability::Repeatable);
    CHECK_TRUE(repeatabilityFor(service, "POST", "/quotes") == Repeatability::NonRepeatable);
    CHECK_TRUE(repeatabilityFor(service, "DELETE", "/holds/1") == Repeatability::NonRepeatable);
}

TEST(EnvironmentParser, describesTheDifferenceOfDocuments)
{
    const auto before = parseEnvironment("doc.json", validDocument);
    const auto after = parseEnvironment("doc.json",
        replaceFirst(validDocument, "{ \"name\": \"muse\" },", "{ \"name\": \"muse\", \"memoryTokens\": 5 },"));
    const auto lines = describeDifference(before.value(), after.value());
    LONGS_EQUAL(1, lines.size());
    STRCMP_EQUAL("~ upstream muse", lines[0].c_str());
}
