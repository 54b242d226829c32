#pragma once

#include <foundation/event.h>
#include <foundation/featureswitch.h>
#include <foundation/resultcode.h>
#include <platform/httptransfers.h>

#include "platform/nodesettings.h"
#include "receivesettings.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Gateway {

/** The settings of a gateway: those of the machine, which the platform writes, and its own. */
struct GatewaySettings {
    PlatformAdapter::NodeSettings node;
    Foundation::Severity logSeverity = Foundation::Severity::Info;
    /** The maximum number of log lines per second. */
    std::int64_t logLinesPerSecond = 200;
    std::uint16_t metricsPort = 9100;
    /** Whether short prompts are placed by what other gateways are expected to have dispatched. */
    Foundation::FeatureSwitch crowdPlacement = Foundation::FeatureSwitch::Automatic;
    /** Whether long prompts are refused early and engines kept free for short ones. */
    Foundation::FeatureSwitch contentionPolicy = Foundation::FeatureSwitch::Automatic;
    ReceiveSettings receive;
};

/**
 * Parses and validates a settings file.
 * @param fileName the name to use in error messages.
 * @param text the content of the file: JSON with comments.
 * @return the settings, or SettingsInvalid with one line for each error.
 */
Foundation::Result<GatewaySettings> parseGatewaySettings(std::string_view fileName, std::string_view text);

} // namespace Gateway
