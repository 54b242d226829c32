#include "instancelistclient.h"

#include <nlohmann/json.hpp>

namespace Platform {

namespace {

using Foundation::Error;
using Foundation::Result;
using Foundation::ResultCode;
using Membership::Instance;
using Membership::ListedState;

constexpr Foundation::Duration listTimeout = std::chrono::seconds(2);

} // namespace

InstanceListClient::InstanceListClient(HttpTransfers& transfers, std::string url)
    : transfers(transfers)
    , url(std::move(url))
{
}

void InstanceListClient::read(std::function<void(Result<std::vector<Instance>>)> onDone)
{
    HttpCall call;
    call.url = this->url;
    call.timeout = listTimeout;
    this->transfers.fetch(std::move(call), [onDone = std::move(onDone)](const HttpCallResult& result) {
        if (result.isSuccess())
            onDone(decodeInstanceList(result.body));
        else
            onDone(Error { ResultCode::NoUpstream, result.error });
    });
}

Result<std::vector<Instance>> decodeInstanceList(std::string_view text)
{
    std::vector<Instance> instances;
    try {
        const nlohmann::json list = nlohmann::json::parse(text);
        for (const nlohmann::json& item : list.at("instances")) {
            const bool isDraining = item.value("leaving", false);
            instances.push_back({ item.at("id").get<std::string>(), item.at("address").get<std::string>(),
                item.at("upstream").get<std::string>(), item.at("failureDomain").get<std::string>(),
                isDraining ? ListedState::Draining : ListedState::Live });
        }
    } catch (const std::exception& exception) {
        return Error { ResultCode::MalformedMessage, exception.what() };
    }
    return instances;
}

} // namespace Platform
