#pragma once

#include <foundation/event.h>
#include <foundation/resultcode.h>
#include <platform/httptransfers.h>

#include "platform/nodesettings.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Gateway {

/** The settings of a gateway: what the platform tells of the machine, and its own. */
struct GatewaySettings {
    PlatformAdapter::NodeSettings node;
    Foundation::Severity logSeverity = Foundation::Severity::Info;
    /** Log lines written in a second at most. */
    std::int64_t logLinesPerSecond = 200;
    std::uint16_t metricsPort = 9100;
};

/**
 * Parses and checks a settings file.
 * @param fileName the name to use in messages.
 * @param text the file's text: JSON with comments.
 * @return the settings, or SettingsInvalid with one message for each fault.
 */
Foundation::Result<GatewaySettings> parseGatewaySettings(std::string_view fileName, std::string_view text);

} // namespace Gateway
