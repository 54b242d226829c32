#include "gatewaysettings.h"

#include <application/commandline.h>

#include <CppUTest/TestHarness.h>

using namespace Gateway;

namespace {

// Returns the deployed settings template with its placeholder replaced, as the platform does it.
std::string fillTemplate(const std::string& node)
{
    std::string text = *Application::readFile(BLUEBELL_SOURCE_DIR "/deploy/gateway.json");
    const std::string placeholder = "{{.|json}}";
    text.replace(text.find(placeholder), placeholder.size(), node);
    return text;
}

constexpr const char* testNode = R"({"node_name": "n", "ip": "127.0.0.1", "zone": "a",
    "listen": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2", "control": "127.0.0.1:3"},
    "platform": {"address": "127.0.0.1:4"}})";

} // namespace

TEST_GROUP(GatewaySettingsTest) {};

TEST(GatewaySettingsTest, theDeployedTemplateIsValid)
{
    const auto settings = parseGatewaySettings("t", fillTemplate(testNode));
    CHECK_TRUE(settings.has_value());
    STRCMP_EQUAL("n", settings.value().node.name.c_str());
}

TEST(GatewaySettingsTest, everyErrorIsReported)
{
    const auto settings = parseGatewaySettings(
        "t", R"({"logLevel": "loud", "contentionPolicy": "yes", "typo": 1, "node": {"node_name": "n"}})");
    CHECK_FALSE(settings.has_value());
    STRCMP_CONTAINS("logLevel", settings.error().message.c_str());
    STRCMP_CONTAINS("contentionPolicy", settings.error().message.c_str());
    STRCMP_CONTAINS("typo", settings.error().message.c_str());
    STRCMP_CONTAINS("listen.front", settings.error().message.c_str());
}

TEST(GatewaySettingsTest, theLimitsOfTheDocumentReplaceThoseOfTheSettings)
{
    const auto settings = parseGatewaySettings("t",
        std::string(R"({"receive": {"memoryMb": 5, "maximumBodyBytes": 2048, "maximumFields": 20}, "node": )")
            + testNode + "}");
    CHECK_TRUE(settings.has_value());
    const ReceiveSettings& receive = settings.value().receive;
    CHECK_EQUAL(2048U, makeReceiveLimits(receive, {}).maximumBodyBytes);
    const Web::ReceiveLimits limits
        = makeReceiveLimits(receive, { 16'384, 4'194'304, std::chrono::seconds(3), std::chrono::seconds(15) });
    CHECK_EQUAL(4'194'304U, limits.maximumBodyBytes);
    CHECK_EQUAL(16'384U, limits.maximumHeaderBytes);
    CHECK_EQUAL(20U, limits.maximumFields);
    // Callers that stay within the limits of the document are never cut off.
    CHECK_TRUE(limits.headTime > std::chrono::seconds(3));
    CHECK_TRUE(limits.idleTime >= std::chrono::seconds(12));
    CHECK_EQUAL(5'000'000U, makeReceiveMemorySettings(receive, 160'000'000).capacity);
}

TEST(GatewaySettingsTest, wrongLimitsForClientsAreReported)
{
    const auto settings = parseGatewaySettings(
        "t", std::string(R"({"receive": {"maximumFields": 0, "typo": 1}, "node": )") + testNode + "}");
    CHECK_FALSE(settings.has_value());
    STRCMP_CONTAINS("maximumFields", settings.error().message.c_str());
    STRCMP_CONTAINS("typo", settings.error().message.c_str());
}

// Callers know only the limits of the document.
TEST(GatewaySettingsTest, noLimitOfTheProcessIsReachedWithinThoseOfTheDocument)
{
    Policy::CallerLimits document;
    document.maximumHeaderBytes = 200'000;
    document.idleTimeout = std::chrono::seconds(60);
    const Web::ReceiveLimits limits = makeReceiveLimits({}, document);
    CHECK_TRUE(limits.maximumTargetBytes >= 200'000 && limits.maximumTrailerBytes >= 200'000);
    CHECK_TRUE(limits.maximumFields >= 200'000);
    CHECK_TRUE(limits.bodyStallTime >= std::chrono::seconds(60));
}
