#pragma once

#include <wire/messages.h>

#include <vector>

namespace Gateway {

/**
 * Merges the loads of each process into one with its newest number. Usages are absolute, so a newer one replaces an
 * older one of the same upstream.
 */
std::vector<Wire::PeerLoad> mergeLoads(std::vector<Wire::PeerLoad> loads);

} // namespace Gateway
