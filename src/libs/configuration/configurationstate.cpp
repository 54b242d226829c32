#include "configurationstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Configuration {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;

nlohmann::json targetsToJson(const std::map<Target, TargetState>& targets)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [target, state] : targets) {
        list.push_back({
            { "kind", toString(target.kind) },
            { "name", target.name },
            { "takenOut", state.state == ServiceState::TakenOut },
            { "version", state.version },
        });
    }
    return list;
}

nlohmann::json decidedChangesToJson(const std::vector<DecidedChange>& decided)
{
    nlohmann::json list = nlohmann::json::array();
    for (const DecidedChange& change : decided)
        list.push_back({ change.changeId, change.accepted, change.version });
    return list;
}

void decodeTargets(const nlohmann::json& list, ConfigurationState& state)
{
    for (const nlohmann::json& item : list) {
        const Target target { targetKindFromString(item.at("kind").get<std::string>()).value(),
            item.at("name").get<std::string>() };
        const bool takenOut = item.at("takenOut").get<bool>();
        state.targets[target]
            = { takenOut ? ServiceState::TakenOut : ServiceState::InService, item.at("version").get<std::uint64_t>() };
    }
}

void decodeDecidedChanges(const nlohmann::json& list, ConfigurationState& state)
{
    for (const nlohmann::json& item : list) {
        state.decidedChanges.push_back(
            { item.at(0).get<std::string>(), item.at(1).get<bool>(), item.at(2).get<std::uint64_t>() });
    }
}

} // namespace

bool ConfigurationState::isTakenOut(std::string_view instance, std::string_view failureDomain) const
{
    const auto isTargetTakenOut = [this](TargetKind kind, std::string_view name) {
        const auto found = this->targets.find(Target { kind, std::string(name) });
        return found != this->targets.end() && found->second.state == ServiceState::TakenOut;
    };
    return isTargetTakenOut(TargetKind::Instance, instance)
        || isTargetTakenOut(TargetKind::FailureDomain, failureDomain);
}

const DecidedChange* ConfigurationState::findDecidedChange(std::string_view changeId) const
{
    const auto found = std::ranges::find(this->decidedChanges, changeId, &DecidedChange::changeId);
    return found == this->decidedChanges.end() ? nullptr : &*found;
}

std::uint64_t ConfigurationState::targetVersion(const Target& target) const
{
    const auto found = this->targets.find(target);
    return found == this->targets.end() ? 0 : found->second.version;
}

std::string_view toString(TargetKind kind) { return kind == TargetKind::FailureDomain ? "failureDomain" : "instance"; }

Result<TargetKind> targetKindFromString(std::string_view text)
{
    if (text == "failureDomain")
        return TargetKind::FailureDomain;
    if (text == "instance")
        return TargetKind::Instance;
    return Error { ResultCode::UnknownTarget, "unknown target kind '" + std::string(text) + "'" };
}

nlohmann::json toJson(const ConfigurationState& state)
{
    return {
        { "nextOffset", state.nextOffset },
        { "version", state.version },
        { "documentVersion", state.documentVersion },
        { "document", state.documentText },
        { "targets", targetsToJson(state.targets) },
        { "decided", decidedChangesToJson(state.decidedChanges) },
    };
}

Result<ConfigurationState> stateFromJson(const nlohmann::json& value)
{
    ConfigurationState state;
    try {
        state.nextOffset = value.at("nextOffset").get<std::uint64_t>();
        state.version = value.at("version").get<std::uint64_t>();
        state.documentVersion = value.at("documentVersion").get<std::uint64_t>();
        state.documentText = value.at("document").get<std::string>();
        decodeTargets(value.at("targets"), state);
        decodeDecidedChanges(value.at("decided"), state);
    } catch (const std::exception& exception) {
        return Error { ResultCode::MalformedMessage, exception.what() };
    }
    if (state.version > state.nextOffset || state.documentVersion > state.version)
        return Error { ResultCode::MalformedMessage,
            "configuration state violates documentVersion <= version <= nextOffset" };
    return state;
}

} // namespace Configuration
