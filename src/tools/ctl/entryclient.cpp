#include "entryclient.h"

namespace Ctl {

EntryClient::EntryClient(CallRunner& runner, std::vector<std::string> addresses, std::string token)
    : runner(runner)
    , addresses(std::move(addresses))
    , token(std::move(token))
{
}

std::vector<EntryStatus> EntryClient::readStatus()
{
    std::vector<EntryStatus> statuses;
    for (const std::string& address : this->addresses) {
        auto answer = this->fetchJson(address, "/operator/status");
        statuses.push_back({ address, answer.has_value(), answer.value_or(nlohmann::json::object()) });
    }
    return statuses;
}

std::optional<nlohmann::json> EntryClient::explain(const std::string& request)
{
    for (const std::string& address : this->addresses) {
        if (auto answer = this->fetchJson(address, "/operator/explain?request=" + request))
            return answer;
    }
    return std::nullopt;
}

std::vector<std::string> EntryClient::describeOutdated(const std::vector<EntryStatus>& statuses, std::uint64_t version)
{
    std::vector<std::string> outdated;
    for (const EntryStatus& entry : statuses) {
        if (!entry.reachable) {
            outdated.push_back("entry " + entry.address + " cannot be reached");
            continue;
        }
        if (entry.status.value("version", std::uint64_t { 0 }) < version)
            outdated.push_back("entry " + entry.address + " runs an older configuration version");
        for (const nlohmann::json& agent : entry.status.value("agents", nlohmann::json::array())) {
            if (agent.value("version", std::uint64_t { 0 }) < version)
                outdated.push_back("agent " + agent.value("instance", "")
                    + " runs an older configuration version, as entry " + entry.address + " reports");
        }
    }
    return outdated;
}

std::optional<nlohmann::json> EntryClient::fetchJson(const std::string& address, const std::string& path)
{
    Platform::HttpCall call;
    call.url = "http://" + address + path;
    call.headers.push_back("X-Bluebell-Token: " + this->token);
    call.timeout = std::chrono::seconds(2);
    const Platform::HttpCallResult result = this->runner.fetch(std::move(call));
    if (!result.isSuccess())
        return std::nullopt;
    auto value = nlohmann::json::parse(result.body, nullptr, /* allow_exceptions */ false);
    if (value.is_discarded())
        return std::nullopt;
    return value;
}

} // namespace Ctl
