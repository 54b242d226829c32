#pragma once

#include "upstreamselector.h"

#include <atomic>

namespace Routing {

/** Chooses the upstreams in turn. The baseline that PredictedLatencySelector is compared with. */
class RoundRobinSelector {
public:
    /** @return the index of the next eligible candidate in turn; none if no candidate is eligible. */
    std::optional<std::size_t> choose(
        std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random);

private:
    std::atomic<std::uint64_t> nextTurn { 0 };
};

static_assert(UpstreamSelector<RoundRobinSelector>);

} // namespace Routing
