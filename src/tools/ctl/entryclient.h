#pragma once

#include "synchronouslog.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Ctl {

/** The status of one entry and of the agents that it is connected to. */
struct EntryStatus {
    std::string address;
    bool reachable = false;
    /** The answer of the entry's status endpoint; an empty object if the entry is unreachable. */
    nlohmann::json status;
};

/** Queries the operator endpoints of the entries. */
class EntryClient {
public:
    /**
     * @param runner must outlive the client.
     * @param addresses IP addresses and ports of the entries.
     * @param token the authentication token of the environment.
     */
    EntryClient(CallRunner& runner, std::vector<std::string> addresses, std::string token);

    /** Returns the status of each entry, in the order of the addresses. */
    std::vector<EntryStatus> readStatus();

    /** Returns the trace of a request from the first entry that has one. */
    std::optional<nlohmann::json> explain(const std::string& request);

    /** Returns one line for each entry or agent that is unreachable or runs a configuration older than a version. */
    static std::vector<std::string> describeOutdated(const std::vector<EntryStatus>& statuses, std::uint64_t version);

private:
    std::optional<nlohmann::json> fetchJson(const std::string& address, const std::string& path);

    CallRunner& runner;
    std::vector<std::string> addresses;
    std::string token;
};

} // namespace Ctl
