#pragma once

#include "agentlink.h"

#include <platform/configurationfollower.h>
#include <quarantine/suspectregistry.h>
#include <routing/candidate.h>
#include <routing/configuredselector.h>
#include <routing/tokenestimator.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Entry {

/** The agents that serve one model or service. */
struct Route {
    std::vector<AgentLinkPtr> links;
    std::int64_t upstreamCount = 0;
};

struct ModelRoute : Route {
    std::shared_ptr<Routing::TokenEstimator> estimator;
};

class RoutingTable {
public:
    /**
     * @param configuration the configuration in force; null before the first.
     * @param failureDomain the failure domain of the entry.
     */
    RoutingTable(Platform::ActiveConfigurationPtr configuration, std::string failureDomain);

    /** @return whether a document is in force. */
    bool isComplete() const;

    const Configuration::EnvironmentDocument& document() const { return this->configuration->document; }
    std::uint64_t version() const;

    const ModelRoute* findModel(std::string_view model) const;
    const Route* findService(std::string_view service) const;

    /**
     * Describes the agents of a route for the choice among them.
     * @param route the route; must belong to this table.
     * @return one candidate for each link, in the same order.
     */
    std::vector<Routing::Candidate> candidates(const Route& route) const;

    Platform::ActiveConfigurationPtr configuration;
    std::map<std::string, ModelRoute, std::less<>> models;
    std::map<std::string, Route, std::less<>> services;
    std::shared_ptr<Routing::ConfiguredSelector> choice;

private:
    std::string failureDomain;
};

/** What the entry knows of requests that crashed upstreams. */
struct SuspectTable {
    std::map<std::string, Quarantine::QuarantineStatus, std::less<>> standings;
    std::map<std::string, std::string, std::less<>> crashes;
};

} // namespace Entry
