#include "roundrobinselector.h"

namespace Routing {

std::optional<std::size_t> RoundRobinSelector::choose(
    std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow&)
{
    const std::vector<std::size_t> eligible = eligibleIndices(candidates, request);
    if (eligible.empty())
        return std::nullopt;
    return eligible[this->nextTurn.fetch_add(1, std::memory_order_relaxed) % eligible.size()];
}

} // namespace Routing
