#include "identifier.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <random>

namespace Foundation {

namespace {

std::mt19937_64 seededGenerator()
{
    std::random_device device;
    std::seed_seq seed { device(), device(), device(), device(), device(), device() };
    return std::mt19937_64(seed);
}

std::mt19937_64& threadGenerator()
{
    thread_local std::mt19937_64 generator = seededGenerator();
    return generator;
}

} // namespace

std::string makeIdentifier()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t digitCount = 32;
    constexpr std::size_t digitsPerDraw = 16;
    std::string text;
    text.reserve(digitCount);
    std::uint64_t bits = 0;
    for (std::size_t i = 0; i < digitCount; ++i) {
        if (i % digitsPerDraw == 0)
            bits = threadGenerator()();
        text.push_back(digits[bits & 0xf]);
        bits >>= 4;
    }
    return text;
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

std::int64_t jittered(std::int64_t milliseconds)
{
    const std::int64_t width = std::max<std::int64_t>(1, milliseconds / 2);
    const std::int64_t low = milliseconds - milliseconds / 4;
    const auto offset = static_cast<std::int64_t>(randomBelow(static_cast<std::uint64_t>(width)));
    return std::max<std::int64_t>(1, low + offset);
}

std::uint64_t randomBelow(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(threadGenerator());
}

} // namespace Foundation
