#include "trafficpolicy.h"

#include <algorithm>

namespace Policy {

TrafficPolicy::TrafficPolicy(Content content)
    : content(std::move(content))
{
    for (std::size_t i = 0; i < this->content.routes.size(); ++i)
        this->routesByHost[this->content.routes[i].host].push_back(i);
    for (auto& [host, indices] : this->routesByHost) {
        std::ranges::stable_sort(indices, std::ranges::greater {},
            [this](std::size_t index) { return this->content.routes[index].pathPrefix.size(); });
    }
    for (std::size_t i = 0; i < this->content.services.size(); ++i)
        this->servicesByName[this->content.services[i].name] = i;
}

const Route* TrafficPolicy::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(host);
    if (found == this->routesByHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        const Route& route = this->content.routes[index];
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const Account* TrafficPolicy::findAccount(std::string_view key) const
{
    const auto found = this->content.accountsByKey.find(key);
    return found == this->content.accountsByKey.end() ? nullptr : &found->second;
}

const ServiceProfile* TrafficPolicy::findService(std::string_view name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : &this->content.services[found->second];
}

const std::string& chooseService(const Route& route, double draw)
{
    double total = 0;
    for (const RouteTarget& target : route.targets)
        total += target.weight;
    double remaining = draw * total;
    for (const RouteTarget& target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0)
            return target.service;
    }
    return route.targets.back().service;
}

} // namespace Policy
