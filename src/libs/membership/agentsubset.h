#pragma once

#include "instance.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/**
 * Chooses the agents that an entry connects to: for each upstream a bounded number, spread over the failure domains.
 * @param subsetSize the maximum number of agents for each upstream.
 * @return the identifiers of the chosen instances, in ascending order.
 */
std::vector<std::string> chooseSubset(
    std::string_view entry, std::span<const Instance> instances, std::size_t subsetSize);

} // namespace Membership
