#pragma once

#include <foundation/resultcode.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Configuration {

/** The kinds of targets that an operator can take out of service. */
enum class TargetKind : std::uint8_t {
    FailureDomain,
    Instance,
};

/** A failure domain or an instance. */
struct Target {
    TargetKind kind = TargetKind::FailureDomain;
    std::string name;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14 on the defaulted operator.
    auto operator<=>(const Target&) const = default;
};

enum class ServiceState : std::uint8_t {
    InService,
    TakenOut,
};

struct TargetState {
    ServiceState state = ServiceState::InService;
    /** The version at which the target was last changed. */
    std::uint64_t version = 0;

    bool operator==(const TargetState&) const = default;
};

/** The outcome of an earlier change, used to detect changes that are appended twice. */
struct DecidedChange {
    std::string changeId;
    bool accepted = false;
    /** One more than the offset of the record that was decided. */
    std::uint64_t version = 0;

    bool operator==(const DecidedChange&) const = default;
};

/** The state that results from the accepted records of the configuration stream. */
struct ConfigurationState {
    /** The offset of the first record that is not part of this state. */
    std::uint64_t nextOffset = 0;
    /** One more than the offset of the last accepted change; 0 if there was none. */
    std::uint64_t version = 0;
    /** The version at which the document was accepted; 0 if there is no document. */
    std::uint64_t documentVersion = 0;
    std::string documentText;
    std::map<Target, TargetState> targets;
    /** The most recent decisions, oldest first; their number is limited. */
    std::vector<DecidedChange> decidedChanges;

    bool operator==(const ConfigurationState&) const = default;

    /** Returns whether an instance is out of service, either itself or with its failure domain. */
    bool isTakenOut(std::string_view instance, std::string_view failureDomain) const;

    /** Returns the outcome of a change; nullptr if it was never decided or its outcome is no longer stored. */
    const DecidedChange* findDecidedChange(std::string_view changeId) const;

    /** Returns the version at which a target was last changed; 0 if it never was. */
    std::uint64_t targetVersion(const Target& target) const;
};

/** Returns the name of a target kind in records and on the command line. */
std::string_view toString(TargetKind kind);

/**
 * Parses the name of a target kind.
 * @return the kind, or UnknownTarget.
 */
Foundation::Result<TargetKind> targetKindFromString(std::string_view text);

nlohmann::json toJson(const ConfigurationState& state);

/**
 * Decodes a state from its JSON form.
 * @return the state, or MalformedMessage.
 */
Foundation::Result<ConfigurationState> stateFromJson(const nlohmann::json& value);

} // namespace Configuration
