#pragma once

#include "partcrash.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace Quarantine {

/** A crash that counts, with the parts that may have caused it. */
struct CountedCrash {
    /** The crash happened between these times. */
    Foundation::TimePoint aliveAt {};
    Foundation::TimePoint detectedAt {};
    std::vector<PromptPart> parts;
};

/** Why a candidate is or is not taken as the cause of crashes. */
enum class AttributionVerdict : std::uint8_t {
    /** The candidate is taken as the cause of its crashes. */
    Cause,
    /** Too few crashes are left that no better candidate explains. */
    TooFewCrashes,
    /** The crashes may all have happened at the same moment, as at a loss of power. */
    SameMoment,
    /** Another candidate explains most of the same crashes equally well. */
    Ambiguous,
};

/** Parts that occur in the same unexplained crashes, so that they cannot be told apart. */
struct CrashCandidate {
    std::vector<PromptPart> parts;
    /** The number of crashes that no better candidate explains. */
    std::size_t crashCount = 0;
    /** The smallest number of moments at which these crashes can have happened. */
    std::size_t momentCount = 0;
    /** Whether a request with these parts has run to its end lately, or many requests have them. */
    bool isLikelyBystander = false;
    AttributionVerdict verdict = AttributionVerdict::TooFewCrashes;
    /** When the last of the crashes was detected. */
    Foundation::TimePoint lastCrashAt {};
};

/** Returns the name of a verdict for log lines. */
std::string_view verdictName(AttributionVerdict verdict);

/** Returns the smallest number of moments that can explain when the crashes happened. */
std::size_t countMoments(std::span<const CountedCrash* const> crashes);

/**
 * Finds the parts that explain the crashes best. The part with the most crashes is taken first; its crashes then say
 * nothing about the parts that merely occur beside it, unless one of these has so many crashes that it cannot be a
 * bystander. Parts that cannot be told apart are taken together.
 * @param crashes the crashes that count, in any order; parts that have completed since a crash must not be listed
 * there.
 * @param earlierCauses the parts of each cause found before. A cause that has enough crashes is found again unless
 * others explain all of them.
 * @param isLikelyBystander returns whether a part is likely to occur in crashes by chance.
 * @return the causes in the order in which they were taken, then the other parts that occur in several crashes.
 */
std::vector<CrashCandidate> attributeCrashes(std::span<const CountedCrash> crashes,
    std::span<const std::vector<PromptPart>> earlierCauses, const std::function<bool(PromptPart)>& isLikelyBystander);

} // namespace Quarantine
