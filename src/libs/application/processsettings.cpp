#include "processsettings.h"

namespace Application {

using Foundation::Severity;

namespace {

constexpr std::size_t bytesPerMegabyte = 1'000'000;

} // namespace

Severity readLogSeverity(Foundation::JsonObjectReader& reader)
{
    const std::string level = reader.text("logLevel", "info");
    if (level == "debug")
        return Severity::Debug;
    if (level == "warning")
        return Severity::Warning;
    if (level != "info")
        reader.fail("logLevel", "must be debug, info or warning");
    return Severity::Info;
}

ProcessSettings readProcessSettings(Foundation::JsonObjectReader& reader)
{
    ProcessSettings settings;
    settings.instance = reader.text("instance");
    settings.failureDomain = reader.text("failureDomain");
    settings.listenAddress = reader.text("listenAddress", "127.0.0.1");
    settings.httpPort = static_cast<std::uint16_t>(reader.integer("httpPort", 1, 65535, 8080));
    settings.token = reader.text("token");
    settings.logUrl = reader.text("logUrl");
    settings.instanceListUrl = reader.text("instanceListUrl");
    settings.logSeverity = readLogSeverity(reader);
    settings.heartbeatInterval = std::chrono::milliseconds(reader.integer("heartbeatIntervalMs", 20, 60'000, 500));
    settings.connectionTimeout = std::chrono::milliseconds(reader.integer("connectionTimeoutMs", 60, 300'000, 1'500));
    settings.answerMemoryBytes
        = static_cast<std::size_t>(reader.integer("answerMemoryMb", 1, 1'000'000, 64)) * bytesPerMegabyte;
    if (settings.connectionTimeout < 2 * settings.heartbeatInterval)
        reader.fail("connectionTimeoutMs", "must be at least twice heartbeatIntervalMs");
    return settings;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += (text.empty() ? "" : "\n") + line;
    return text;
}

} // namespace Application
