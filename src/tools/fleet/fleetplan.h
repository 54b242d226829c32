#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Fleet {

/** A group of identical upstream instances. */
struct UpstreamGroup {
    /** The name of the upstream. */
    std::string name;
    /** The role of the stand-in: engine or booking. */
    std::string role;
    /** The number of instances; they are assigned to the failure domains in turn. */
    int count = 1;
    std::vector<std::string> standinFlags;
    /** The JSON members of the upstream in the environment document that follow name and kind. */
    std::string definition;
};

/** Describes the processes of a fleet on this machine and their settings. */
struct FleetPlan {
    std::string environment = "trial";
    std::vector<std::string> domains;
    std::vector<UpstreamGroup> upstreams;
    int entries = 1;
    /** The JSON members of "limits" and "policies" in the environment document. */
    std::string limits;
    std::string policies;
    /** The JSON elements of "accounts"; if empty, the accounts studio and agency. */
    std::string accounts;
    /** Extra command line flags of the log stand-in. */
    std::vector<std::string> logFlags;
    std::string logLevel = "warning";
    int heartbeatMs = 200;
    int connectionTimeoutMs = 1000;
    /** Extra JSON members of the settings of entries and agents, each after a comma. */
    std::string extraEntrySettings;
    std::string extraAgentSettings;
};

constexpr const char* callerKey = "key-of-the-studio";
constexpr const char* otherCallerKey = "key-of-the-agency";
constexpr const char* fleetToken = "token-of-the-environment";

/**
 * Returns the plan of a small fleet modelled on the environment of Sen Vang: three failure domains, four engines, one
 * booking service and two entries.
 */
FleetPlan studioPlan();

/** Returns the environment document of a plan, as JSON with comments. */
std::string makeEnvironmentDocument(const FleetPlan& plan);

} // namespace Fleet
