#pragma once

#include <cstdint>
#include <string_view>

namespace Membership {

/**
 * Scores a member for a key by rendezvous hashing (highest random weight). The member with the highest score owns the
 * key; adding or removing a member moves only the keys of that member.
 * @see Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
 */
std::uint64_t rendezvousScore(std::string_view key, std::string_view member);

} // namespace Membership
