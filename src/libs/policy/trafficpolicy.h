#pragma once

#include "route.h"
#include "serviceprofile.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Policy {

struct Account {
    std::string name;
    /** Goes before the route's priority. */
    std::optional<int> priority;
    /** The regions in which its requests may be handled; empty if any. */
    std::vector<std::string> regions;
};

/** What callers may send and where it goes, as one version of the operator's document says. */
class TrafficPolicy {
public:
    struct Content {
        std::int64_t version = 0;
        std::vector<Route> routes;
        std::vector<ServiceProfile> services;
        /** Accounts by the key that callers show. */
        std::map<std::string, Account, std::less<>> accountsByKey;
        /** Whether the document names accounts, so that requests need a key. */
        bool hasAccounts = false;
    };

    explicit TrafficPolicy(Content content);

    std::int64_t version() const { return this->content.version; }
    bool hasAccounts() const { return this->content.hasAccounts; }
    const std::vector<Route>& routes() const { return this->content.routes; }
    const std::vector<ServiceProfile>& services() const { return this->content.services; }

    /**
     * Finds the route of a request.
     * @param host the host that the request names, without a port.
     * @param path the request's path.
     * @return the route with the longest matching prefix; null if there is none.
     */
    const Route* findRoute(std::string_view host, std::string_view path) const;

    /** @return the account that holds a key; null if none does. */
    const Account* findAccount(std::string_view key) const;

    /** @return the service of that name; null if there is none. */
    const ServiceProfile* findService(std::string_view name) const;

private:
    Content content;
    /** Indices into the routes by host, the longest prefix first. */
    std::map<std::string, std::vector<std::size_t>, std::less<>> routesByHost;
    std::map<std::string, std::size_t, std::less<>> servicesByName;
};

/**
 * Chooses the service of a request by the weights of its route.
 * @param route the route; has at least one target.
 * @param draw a number that is even over [0, 1).
 * @return the target's service.
 */
const std::string& chooseService(const Route& route, double draw);

} // namespace Policy
