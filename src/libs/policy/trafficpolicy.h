#pragma once

#include "callerlimits.h"
#include "route.h"
#include "serviceprofile.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Policy {

/** A client account. */
struct Account {
    std::string name;
    /** Overrides the priority of the route. */
    std::optional<int> priority;
    /** The regions in which its requests may be handled; empty allows all. */
    std::vector<std::string> regions;
};

/** The accounts, routes and services of one version of the operator's configuration document. */
class TrafficPolicy {
public:
    struct Content {
        std::int64_t version = 0;
        std::vector<Route> routes;
        std::vector<ServiceProfile> services;
        /** Accounts by the API key that callers send. */
        std::map<std::string, Account, std::less<>> accountsByKey;
        /** Whether the document lists accounts, in which case requests need a key. */
        bool hasAccounts = false;
        CallerLimits callerLimits;
    };

    explicit TrafficPolicy(Content content);

    std::int64_t version() const { return this->content.version; }
    bool hasAccounts() const { return this->content.hasAccounts; }
    const CallerLimits& callerLimits() const { return this->content.callerLimits; }
    const std::vector<Route>& routes() const { return this->content.routes; }
    const std::vector<ServiceProfile>& services() const { return this->content.services; }

    /**
     * Finds the route of a request.
     * @param host the host of the request, without a port.
     * @return the route with the longest matching prefix; null if there is none.
     */
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /** Returns the account with this API key; null if there is none. */
    const Account* findAccount(std::string_view key) const;

    /** Returns the service with this name; null if there is none. */
    const ServiceProfile* findService(std::string_view name) const;

private:
    Content content;
    /** Indices into the routes by host, longest prefix first. */
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost;
    std::map<std::string, std::size_t, std::less<>> servicesByName;
};

/**
 * Chooses the service of a request at random, by the weights of the targets.
 * @param route must have at least one target.
 * @param draw a random number, uniformly distributed over [0, 1).
 */
const std::string& chooseService(const Route& route, double draw);

} // namespace Policy
