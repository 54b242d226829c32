#pragma once

#include <configuration/lengthclass.h>
#include <membership/upstreamload.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Routing {

/** Whether an upstream is in the failure domain of the entry (Local) or in another one. */
enum class Locality : std::uint8_t {
    Local,
    Remote,
};

/** An upstream that a request could be routed to, with the load known to the entry. */
struct Candidate {
    std::string_view instance;
    std::string_view failureDomain;
    Locality locality = Locality::Local;
    Membership::UpstreamLoad load;
    /** Requests and prompt tokens that this entry sent and that the load report does not include yet. */
    std::int64_t unreportedRequests = 0;
    std::int64_t unreportedTokens = 0;
};

/** The properties of a request that the choice of an upstream depends on. */
struct RoutedRequest {
    std::string_view model;
    Configuration::LengthClass lengthClass = Configuration::LengthClass::Short;
    std::int64_t promptTokens = 0;
    std::int64_t memoryTokens = 0;
    /** The hash of the beginning of the prompt; 0 if the prompt is too short for prefix caching. */
    std::uint64_t prefixHash = 0;
    /** The instances that must not be chosen, such as those that refused the request. */
    std::span<const std::string> excluded;
};

/** @return whether an upstream is available, has enough memory for the request, and is not excluded. */
bool isEligible(const Candidate& candidate, const RoutedRequest& request);

/** @return the predicted time to first token in ms, including the network delay to another failure domain. */
double predictFirstTokenMs(const Candidate& candidate, const RoutedRequest& request);

/** @return the indices of the eligible candidates, in ascending order. */
std::vector<std::size_t> eligibleIndices(std::span<const Candidate> candidates, const RoutedRequest& request);

} // namespace Routing
