#include "routingtable.h"

namespace Entry {

namespace {

template <typename Map> auto findOrNull(const Map& map, std::string_view key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

/**
 * @class RoutingTable
 * The configuration in force and the routes of all models and services. Immutable after it was published: the control
 * thread publishes a new table at each change, and requests read the current one without a lock.
 */
RoutingTable::RoutingTable(Platform::ActiveConfigurationPtr active, std::string ownFailureDomain)
    : configuration(std::move(active))
    , failureDomain(std::move(ownFailureDomain))
{
}

bool RoutingTable::isComplete() const { return this->configuration && this->configuration->hasDocument(); }

std::uint64_t RoutingTable::version() const { return this->configuration ? this->configuration->state.version : 0; }

const ModelRoute* RoutingTable::findModel(std::string_view model) const { return findOrNull(this->models, model); }

const Route* RoutingTable::findService(std::string_view service) const { return findOrNull(this->services, service); }

std::vector<Routing::Candidate> RoutingTable::candidates(const Route& route) const
{
    std::vector<Routing::Candidate> list;
    list.reserve(route.links.size());
    for (const AgentLinkPtr& link : route.links) {
        const Membership::Instance& instance = link->instance();
        const bool isLocal = instance.failureDomain == this->failureDomain;
        list.push_back(
            { instance.id, instance.failureDomain, isLocal ? Routing::Locality::Local : Routing::Locality::Remote,
                link->load(), link->unreportedRequests(), link->unreportedTokens() });
    }
    return list;
}

} // namespace Entry
