#include "configurationrecord.h"

#include <nlohmann/json.hpp>

namespace Configuration {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

struct RecordEncoder {
    nlohmann::json operator()(const DocumentRecord& record) const
    {
        return {
            { "kind", "document" },
            { "changeId", record.changeId },
            { "base", record.base },
            { "document", record.text },
        };
    }

    nlohmann::json operator()(const ServiceStateRecord& record) const
    {
        return {
            { "kind", record.state == ServiceState::TakenOut ? "takeOut" : "bringBack" },
            { "changeId", record.changeId },
            { "base", record.base },
            { "targetKind", toString(record.target.kind) },
            { "target", record.target.name },
        };
    }

    nlohmann::json operator()(const SnapshotRecord& record) const
    {
        return { { "kind", "snapshot" }, { "state", toJson(record.state) } };
    }
};

ConfigurationRecord decodeServiceState(const nlohmann::json& value, ServiceState state)
{
    return ServiceStateRecord {
        value.at("changeId").get<std::string>(),
        value.at("base").get<std::uint64_t>(),
        { targetKindFromString(value.at("targetKind").get<std::string>()).value(),
            value.at("target").get<std::string>() },
        state,
    };
}

ConfigurationRecord decodeValue(const nlohmann::json& value)
{
    const auto kind = value.at("kind").get<std::string>();
    if (kind == "document") {
        return DocumentRecord { value.at("changeId").get<std::string>(), value.at("base").get<std::uint64_t>(),
            value.at("document").get<std::string>() };
    }
    if (kind == "takeOut")
        return decodeServiceState(value, ServiceState::TakenOut);
    if (kind == "bringBack")
        return decodeServiceState(value, ServiceState::InService);
    if (kind == "snapshot")
        return SnapshotRecord { stateFromJson(value.at("state")).value() };
    throw std::invalid_argument("unknown record kind '" + kind + "'");
}

} // namespace

std::string encodeRecord(const ConfigurationRecord& record)
{
    return std::visit(RecordEncoder {}, record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ConfigurationRecord> decodeRecord(std::string_view text)
{
    try {
        return decodeValue(nlohmann::json::parse(text));
    } catch (const std::exception& exception) {
        return Error { ResultCode::MalformedMessage, exception.what() };
    }
}

} // namespace Configuration
