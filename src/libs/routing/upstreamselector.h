#pragma once

#include "candidate.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace Routing {

/** Returns a random number below the bound. Tests pass a seeded generator. */
using RandomBelow = std::function<std::uint64_t(std::uint64_t bound)>;

/** A policy that chooses the upstream for a request. */
template <typename T>
concept UpstreamSelector
    = requires(T choice, std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random)
{
    {
        choice.choose(candidates, request, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace Routing
