#pragma once

#include "candidate.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Routing {

/** @return a hash of the beginning of a request body; 0 if the body is too short for prefix caching. */
std::uint64_t hashPromptPrefix(std::string_view body);

/**
 * Finds the upstream that most likely has the prefix of a prompt in its cache, by rendezvous hashing over the eligible
 * candidates.
 * @return the index of the candidate; none if the prompt has no prefix hash or no candidate is eligible.
 */
std::optional<std::size_t> findPrefixOwner(std::span<const Candidate> candidates, const RoutedRequest& request);

} // namespace Routing
