#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Foundation {

/** Returns a random 128-bit identifier as 32 lower-case hexadecimal digits. */
std::string makeIdentifier();

/** Hashes bytes with XXH64. */
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/**
 * Adds random jitter to a delay, so that many clients do not retry at the same time.
 * @return a value between 75 % and 125 % of the given one, in ms; at least 1.
 */
std::int64_t jittered(std::int64_t milliseconds);

/** Returns a uniformly distributed random number in [0, bound). The bound must be positive. */
std::uint64_t randomBelow(std::uint64_t bound);

} // namespace Foundation
