#pragma once

#include "candidate.h"

#include <optional>
#include <span>

namespace Routing {

/**
 * Chooses the upstream for a long prompt so that long prompts are packed onto few upstreams of each failure domain.
 * The candidates of a domain have a fixed order, and the first one that is not busy with long prompts is chosen, so the
 * number of upstreams with long prompts follows the load.
 * @return the index of the chosen candidate; none if no candidate is eligible.
 */
std::optional<std::size_t> packLongPrompt(std::span<const Candidate> candidates, const RoutedRequest& request);

} // namespace Routing
