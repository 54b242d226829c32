#pragma once

#include <foundation/clock.h>
#include <foundation/event.h>
#include <foundation/jsonobjectreader.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Application {

/** The settings that entry and agent share. */
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
};

/**
 * Reads the shared settings.
 * @param reader the settings file's root.
 * @return the settings; faults are collected by the reader.
 */
ProcessSettings readProcessSettings(Foundation::JsonObjectReader& reader);

/** Reads the level of the log, `logLevel`. */
Foundation::Severity readLogSeverity(Foundation::JsonObjectReader& reader);

/** Joins messages to one text, one a line. */
std::string joinLines(const std::vector<std::string>& lines);

} // namespace Application
