#pragma once

#include <application/processsettings.h>
#include <foundation/resultcode.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Agent {

/** The settings of an agent process. */
struct AgentSettings {
    Application::ProcessSettings process;
    /** The name of the upstream in the environment document. */
    std::string upstream;
    std::string upstreamUrl;
    std::uint16_t wirePort = 0;
    /** The time between two status checks of the upstream. */
    Foundation::Duration monitorInterval {};
    /** How long an attempt may stay without a connected entry before it is cancelled. */
    Foundation::Duration orphanGrace {};
};

/**
 * Parses and checks the settings of an agent.
 * @param fileName the file name to use in error messages.
 * @param text JSON with comments.
 * @return the settings, or SettingsInvalid with one line for each error.
 */
Foundation::Result<AgentSettings> parseAgentSettings(std::string_view fileName, std::string_view text);

} // namespace Agent
