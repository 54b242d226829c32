#pragma once

#include "configurationstate.h"

#include <foundation/resultcode.h>

#include <string>
#include <string_view>
#include <variant>

namespace Configuration {

/** Publishes an environment document; its base is the document version that it replaces. */
struct DocumentRecord {
    std::string changeId;
    std::uint64_t base = 0;
    std::string text;
};

/** Takes a target out of service or brings it back; its base is the version of the target's last change. */
struct ServiceStateRecord {
    std::string changeId;
    std::uint64_t base = 0;
    Target target;
    ServiceState state = ServiceState::InService;
};

/** Contains the accepted state, so that older records can expire. */
struct SnapshotRecord {
    ConfigurationState state;
};

using ConfigurationRecord = std::variant<DocumentRecord, ServiceStateRecord, SnapshotRecord>;

/** Encodes a record of the log as JSON. */
std::string encodeRecord(const ConfigurationRecord& record);

/**
 * Decodes a record of the log.
 * @return the record, or MalformedMessage.
 */
Foundation::Result<ConfigurationRecord> decodeRecord(std::string_view text);

} // namespace Configuration
