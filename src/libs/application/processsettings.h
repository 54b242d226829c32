#pragma once

#include <foundation/clock.h>
#include <foundation/event.h>
#include <foundation/jsonobjectreader.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Application {

/** The settings that the entry and the agent have in common. */
struct ProcessSettings {
    std::string instance;
    std::string failureDomain;
    std::string listenAddress;
    std::uint16_t httpPort = 0;
    std::string token;
    std::string logUrl;
    std::string instanceListUrl;
    Foundation::Severity logSeverity = Foundation::Severity::Info;
    Foundation::Duration heartbeatInterval {};
    Foundation::Duration connectionTimeout {};
    /** The memory for all answers that the process holds, in bytes. */
    std::size_t answerMemoryBytes = 0;
};

/**
 * Reads the common settings. Errors are collected by the reader.
 * @param reader the root object of the settings file.
 */
ProcessSettings readProcessSettings(Foundation::JsonObjectReader& reader);

/** Reads the minimum severity of logged events from the key `logLevel`. */
Foundation::Severity readLogSeverity(Foundation::JsonObjectReader& reader);

/** Joins lines with newlines. There is none after the last line. */
std::string joinLines(const std::vector<std::string>& lines);

} // namespace Application
