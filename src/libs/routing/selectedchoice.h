#pragma once

#include "predictedlatencychoice.h"
#include "roundrobinchoice.h"

#include <configuration/environmentdocument.h>

namespace Routing {

/** Delegates to the policy named in the environment document, so that two policies can be compared in an experiment. */
class SelectedChoice {
public:
    explicit SelectedChoice(const Configuration::PolicyDefinition& policies);

    /** @return the index of the chosen candidate; none if no candidate is eligible. */
    std::optional<std::size_t> choose(
        std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random);

private:
    Configuration::ChoicePolicy policy;
    RoundRobinChoice roundRobin;
    PredictedLatencyChoice predicted;
};

static_assert(UpstreamChoice<SelectedChoice>);

} // namespace Routing
