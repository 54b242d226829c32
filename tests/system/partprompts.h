#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Proof {

/** How many parts prompts have, and which of them crashes upstreams. */
enum class PartLayout : std::uint8_t {
    FirstOfTwo,
    FirstOfFour,
    MiddleOfFour,
    MiddleOfTwelve,
    MiddleOfEighty,
    /** As MiddleOfFour; a sound part that is rare elsewhere always comes with the crashing one. */
    Companion,
    /** As MiddleOfFour, with two crashing parts in different requests. */
    Pair,
};

const char* layoutName(PartLayout layout);

/**
 * Makes the values of the header that lists the parts of a prompt. Some sound parts are in most prompts, some in a few
 * in a hundred, some in one of 200 or fewer; the last part belongs to the request.
 */
class PartPrompts {
public:
    PartPrompts(PartLayout layout, std::uint64_t seed);

    std::size_t crashingPartCount() const { return this->layout == PartLayout::Pair ? 2 : 1; }

    std::string makeSound();

    /** @param crashingPart below crashingPartCount(). */
    std::string makeCrashing(std::size_t crashingPart);

    /** Returns one of several values that no caller should send, or new ids in every request. */
    std::string makeHostile();

private:
    std::vector<std::string> makeParts(double rareFraction);
    std::string makePart(std::size_t place, double rareFraction);
    std::string makeOwnPart();
    std::string join(const std::vector<std::string>& ids) const;
    bool happens(double probability);

    PartLayout layout;
    std::size_t partCount;
    std::size_t crashingPlace;
    std::mt19937_64 random;
    std::size_t hostileCount = 0;
};

} // namespace Proof
