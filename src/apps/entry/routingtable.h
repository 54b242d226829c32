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

/** The agents that requests for one model or service can be sent to. */
struct Route {
    std::vector<AgentLinkPtr> links;
    /** The number of instances that serve the model or service, including those without a link. */
    std::int64_t upstreamCount = 0;
};

struct ModelRoute : Route {
    std::shared_ptr<Routing::TokenEstimator> estimator;
};

class RoutingTable {
public:
    /**
     * @param configuration the configuration in force; null before the first one.
     * @param failureDomain the failure domain of the entry.
     */
    RoutingTable(Platform::ActiveConfigurationPtr configuration, std::string failureDomain);

    /** Returns whether a configuration document is in force; without one no request is accepted. */
    bool isComplete() const;

    const Configuration::EnvironmentDocument& document() const { return this->configuration->document; }
    /** Returns the version of the configuration; 0 before the first one. */
    std::uint64_t version() const;

    const ModelRoute* findModel(std::string_view model) const;
    const Route* findService(std::string_view service) const;

    /**
     * Returns one candidate for each link of a route, in the same order. The candidates refer to the instances of the
     * links and must not outlive them.
     * @param route must belong to this table.
     */
    std::vector<Routing::Candidate> candidates(const Route& route) const;

    Platform::ActiveConfigurationPtr configuration;
    std::map<std::string, ModelRoute, std::less<>> models;
    std::map<std::string, Route, std::less<>> services;
    std::shared_ptr<Routing::ConfiguredSelector> selector;

private:
    std::string failureDomain;
};

/** Requests that were running when upstreams crashed, by their fingerprints. */
struct SuspectTable {
    std::map<std::string, Quarantine::QuarantineStatus, std::less<>> quarantineStatuses;
    /** The crash during which a suspect was running; a quarantined request has none. */
    std::map<std::string, std::string, std::less<>> crashes;
};

} // namespace Entry
