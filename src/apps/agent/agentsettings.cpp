#include "agentsettings.h"

namespace Agent {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

Result<AgentSettings> parseAgentSettings(std::string_view fileName, std::string_view text)
{
    const auto located = Foundation::parseLocatedJson(fileName, text, ResultCode::SettingsInvalid);
    if (!located)
        return located.error();
    std::vector<std::string> errors;
    Foundation::JsonObjectReader root(located.value(), "", errors);
    AgentSettings settings;
    settings.process = Application::readProcessSettings(root);
    settings.upstream = root.text("upstream");
    settings.upstreamUrl = root.text("upstreamUrl");
    settings.wirePort = static_cast<std::uint16_t>(root.integer("wirePort", 1, 65535, 9080));
    settings.monitorInterval = std::chrono::milliseconds(root.integer("monitorIntervalMs", 10, 60'000, 250));
    settings.orphanGrace = std::chrono::milliseconds(root.integer("orphanGraceMs", 10, 60'000, 2'500));
    root.rejectUnknownKeys();
    if (!errors.empty())
        return Error { ResultCode::SettingsInvalid, Application::joinLines(errors) };
    return settings;
}

} // namespace Agent
