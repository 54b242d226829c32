#pragma once

#include "predictedlatencyselector.h"
#include "roundrobinselector.h"

#include <configuration/environmentdocument.h>

namespace Routing {

/** Delegates to the policy named in the environment document, so that two policies can be compared in an experiment. */
class ConfiguredSelector {
public:
    explicit ConfiguredSelector(const Configuration::PolicyDefinition& policies);

    /** @return the index of the chosen candidate; none if no candidate is eligible. */
    std::optional<std::size_t> choose(
        std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random);

private:
    Configuration::ChoicePolicy policy;
    RoundRobinSelector roundRobin;
    PredictedLatencySelector predicted;
};

static_assert(UpstreamSelector<ConfiguredSelector>);

} // namespace Routing
