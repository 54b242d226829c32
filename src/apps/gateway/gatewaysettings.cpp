#include "gatewaysettings.h"

#include <application/processsettings.h>
#include <foundation/jsonobjectreader.h>

#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

using Foundation::Error;
using Foundation::FeatureSwitch;
using Foundation::ResultCode;

constexpr const char* nodeKey = "node";

FeatureSwitch readSwitch(Foundation::JsonObjectReader& reader, std::string_view key)
{
    const std::string value = reader.text(key, "auto");
    if (value == "on")
        return FeatureSwitch::On;
    if (value == "off")
        return FeatureSwitch::Off;
    if (value != "auto")
        reader.fail(key, "must be auto, on or off");
    return FeatureSwitch::Automatic;
}

} // namespace

Foundation::Result<GatewaySettings> parseGatewaySettings(std::string_view fileName, std::string_view text)
{
    auto located = Foundation::parseLocatedJson(fileName, text, ResultCode::SettingsInvalid);
    if (!located)
        return located.error();
    std::vector<std::string> errors;
    Foundation::JsonObjectReader reader(located.value(), "", errors);
    GatewaySettings settings;
    settings.logSeverity = Application::readLogSeverity(reader);
    settings.logLinesPerSecond = reader.integer("logLinesPerSecond", 1, 100'000, settings.logLinesPerSecond);
    settings.metricsPort = static_cast<std::uint16_t>(reader.integer("metricsPort", 1, 65535, settings.metricsPort));
    settings.crowdPlacement = readSwitch(reader, "crowdPlacement");
    settings.contentionPolicy = readSwitch(reader, "contentionPolicy");
    settings.receive = readReceiveSettings(reader.object("receive"));
    // The platform writes this object and may add fields at any time, so it is not checked for unknown keys.
    reader.object(nodeKey);
    reader.rejectUnknownKeys();
    const nlohmann::json& root = located.value().value;
    auto node = PlatformAdapter::decodeNodeSettings(root.value(nodeKey, nlohmann::json::object()));
    if (node)
        settings.node = std::move(node.value());
    else
        errors.push_back(std::string(fileName) + ": " + nodeKey + ": " + node.error().message);
    if (!errors.empty())
        return Error { ResultCode::SettingsInvalid, Application::joinLines(errors) };
    return settings;
}

} // namespace Gateway
