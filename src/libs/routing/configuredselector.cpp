#include "configuredselector.h"

namespace Routing {

ConfiguredSelector::ConfiguredSelector(const Configuration::PolicyDefinition& policies)
    : policy(policies.choice)
    , predicted(policies.packsLongPrompts ? LongPromptPlacement::Packed : LongPromptPlacement::Spread)
{
}

std::optional<std::size_t> ConfiguredSelector::choose(
    std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random)
{
    if (this->policy == Configuration::ChoicePolicy::RoundRobin)
        return this->roundRobin.choose(candidates, request, random);
    return this->predicted.choose(candidates, request, random);
}

} // namespace Routing
