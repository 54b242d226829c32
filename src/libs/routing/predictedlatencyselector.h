#pragma once

#include "upstreamselector.h"

namespace Routing {

/** Whether long prompts are packed onto few upstreams or spread over all. */
enum class LongPromptPlacement : std::uint8_t {
    Packed,
    Spread,
};

/**
 * Chooses the better of two sampled upstreams by predicted time to first token, with a preference for the own failure
 * domain. Packs long prompts onto few upstreams if configured, and sends a prompt to the upstream that owns its prefix
 * unless that one is too busy.
 * @see Mitzenmacher, "The power of two choices in randomized load balancing", 2001.
 */
class PredictedLatencySelector {
public:
    explicit PredictedLatencySelector(LongPromptPlacement longPromptPlacement);

    /** @return the index of the chosen candidate; none if no candidate is eligible. */
    std::optional<std::size_t> choose(
        std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random) const;

private:
    LongPromptPlacement longPromptPlacement;
};

static_assert(UpstreamSelector<PredictedLatencySelector>);

} // namespace Routing
