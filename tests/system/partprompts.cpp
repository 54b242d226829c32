#include "partprompts.h"

#include <crashableupstream.h>

#include <array>

namespace Proof {

namespace {

constexpr int promptTokens = 1'000;
// Of the sound prompts: the share with the most common part of a place, and that with one of the rare parts.
constexpr double popularFraction = 0.6;
constexpr double popularFirstFraction = 0.95;
constexpr double rareFraction = 0.05;
// Prompts with a crashing part have rare parts more often, which look guilty with it.
constexpr double rareFractionBesideCrashing = 0.3;
constexpr int rareParts = 10;
constexpr int commonParts = 8;
constexpr double companionFraction = 0.005;
constexpr const char* companion = "c0bb1e";
constexpr int hostilePartCount = 10'000;
// Below the ids that begin with the mark of crashing parts.
constexpr std::uint64_t hostileIdLimit = 0x8000;
constexpr int hostileHeaderBytes = 60'000;
constexpr int newIdCount = 500;

std::string toHexadecimal(std::uint64_t value)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(value));
    return text.data();
}

std::string repeat(const std::string& text, int count)
{
    std::string repeated;
    for (int i = 0; i < count; ++i)
        repeated += text;
    return repeated;
}

} // namespace

const char* layoutName(PartLayout layout)
{
    switch (layout) {
    case PartLayout::FirstOfTwo:
        return "2first";
    case PartLayout::FirstOfFour:
        return "4first";
    case PartLayout::MiddleOfFour:
        return "4middle";
    case PartLayout::MiddleOfTwelve:
        return "12middle";
    case PartLayout::MiddleOfEighty:
        return "80middle";
    case PartLayout::Companion:
        return "4companion";
    case PartLayout::Pair:
        return "4pair";
    }
    return "";
}

PartPrompts::PartPrompts(PartLayout layout, std::uint64_t seed)
    : layout(layout)
    , partCount(layout == PartLayout::FirstOfTwo     ? 2
              : layout == PartLayout::MiddleOfTwelve ? 12
              : layout == PartLayout::MiddleOfEighty ? 80
                                                     : 4)
    , crashingPlace(layout == PartLayout::FirstOfTwo || layout == PartLayout::FirstOfFour ? 0 : this->partCount / 2 - 1)
    , random(seed)
{
}

std::string PartPrompts::makeSound()
{
    std::vector<std::string> parts = this->makeParts(rareFraction);
    if (this->layout == PartLayout::Companion && this->happens(companionFraction))
        parts[this->crashingPlace + 1] = companion;
    return this->join(parts);
}

std::string PartPrompts::makeCrashing(std::size_t crashingPart)
{
    std::vector<std::string> parts = this->makeParts(rareFractionBesideCrashing);
    parts[this->crashingPlace] = crashingPartMark + std::to_string(crashingPart);
    if (this->layout == PartLayout::Companion)
        parts[this->crashingPlace + 1] = companion;
    return this->join(parts);
}

std::string PartPrompts::makeHostile()
{
    std::string parts;
    switch (this->hostileCount++ % 6) {
    case 0:
        for (int i = 0; i < hostilePartCount; ++i)
            parts += toHexadecimal(this->random() % hostileIdLimit) + ":1,";
        return parts + this->makeOwnPart() + ":1";
    case 1:
        return std::string(hostileHeaderBytes, 'a') + ":100," + this->makeOwnPart() + ":900";
    case 2:
        return repeat(":100,", 9) + repeat(",", 1'000) + ":100";
    case 3:
        return repeat("ab12,", 1'000) + this->makeOwnPart();
    case 4:
        return repeat("ab12:1,", 5'000) + this->makeOwnPart() + ":1";
    default:
        for (int i = 0; i < newIdCount; ++i)
            parts += this->makeOwnPart() + ":2,";
        return parts + this->makeOwnPart() + ":1";
    }
}

std::vector<std::string> PartPrompts::makeParts(double rare)
{
    std::vector<std::string> parts;
    for (std::size_t place = 0; place + 1 < this->partCount; ++place)
        parts.push_back(this->makePart(place, rare));
    parts.push_back(this->makeOwnPart());
    return parts;
}

std::string PartPrompts::makePart(std::size_t place, double rare)
{
    const std::string prefix = "a" + toHexadecimal(place);
    if (this->happens(rare))
        return prefix + "f" + std::to_string(this->random() % rareParts);
    const bool isFirst = place == 0 && this->partCount > 2;
    if (this->happens(isFirst ? popularFirstFraction : popularFraction))
        return prefix + "a0";
    return prefix + "b" + std::to_string(this->random() % commonParts);
}

std::string PartPrompts::makeOwnPart() { return "b" + toHexadecimal(this->random() >> 32U); }

std::string PartPrompts::join(const std::vector<std::string>& ids) const
{
    std::string text;
    for (const std::string& id : ids)
        text += (text.empty() ? "" : ",") + id + ":" + std::to_string(promptTokens / static_cast<int>(ids.size()));
    return text;
}

bool PartPrompts::happens(double probability) { return std::bernoulli_distribution(probability)(this->random); }

} // namespace Proof
