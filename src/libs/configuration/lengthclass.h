#pragma once

#include "environmentdocument.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Configuration {

/** Classes of prompts by length. A lower value is served with a higher priority. */
enum class LengthClass : std::uint8_t {
    Short,
    Medium,
    Long,
};

constexpr std::size_t lengthClassCount = 3;

constexpr std::array<LengthClass, lengthClassCount> allLengthClasses
    = { LengthClass::Short, LengthClass::Medium, LengthClass::Long };

/**
 * Returns the class of a prompt.
 * @param limits the bounds of the classes.
 * @param tokens the estimated length of the prompt.
 */
inline LengthClass lengthClassFor(const LimitsDefinition& limits, std::int64_t tokens)
{
    if (tokens <= limits.shortPromptTokens)
        return LengthClass::Short;
    return tokens <= limits.longPromptTokens ? LengthClass::Medium : LengthClass::Long;
}

inline std::string_view toString(LengthClass lengthClass)
{
    constexpr std::array<std::string_view, lengthClassCount> names = { "short", "medium", "long" };
    return names[static_cast<std::size_t>(lengthClass)];
}

} // namespace Configuration
