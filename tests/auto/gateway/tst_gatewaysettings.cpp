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
    const auto settings = parseGatewaySettings("t", R"({"logLevel": "loud", "contentionPolicy": "yes", "typo": 1, "node": {"node_name": "n"}})");
    CHECK_FALSE(settings.has_value());
    STRCMP_CONTAINS("logLevel", settings.error().message.c_str());
    STRCMP_CONTAINS("contentionPolicy", settings.error().message.c_str());
    STRCMP_CONTAINS("typo", settings.error().message.c_str());
    STRCMP_CONTAINS("listen.front", settings.error().message.c_str());
}
