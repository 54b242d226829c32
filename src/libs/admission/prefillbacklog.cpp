#include "prefillbacklog.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr double rateSmoothingFactor = 0.1;
constexpr std::int64_t minimumSampleTokens = 2'000;
constexpr double minimumShareOfConfiguredRate = 0.1;
constexpr double maximumShareOfConfiguredRate = 2;

} // namespace

/**
 * @class PrefillBacklog
 * Tracks the dispatched prompts that have no first token yet and estimates the prefill rate of the engine.
 */
PrefillBacklog::PrefillBacklog(double tokensPerSecond)
    : rate(tokensPerSecond)
    , configuredRate(tokensPerSecond)
{
}

void PrefillBacklog::add(std::string_view attempt, Configuration::LengthClass lengthClass, std::int64_t promptTokens)
{
    const auto index = static_cast<std::size_t>(lengthClass);
    if (!this->prompts.emplace(attempt, Prompt { lengthClass, promptTokens }).second)
        return;
    this->tokens[index] += promptTokens;
    ++this->counts[index];
}

void PrefillBacklog::remove(std::string_view attempt)
{
    const auto found = this->prompts.find(attempt);
    if (found == this->prompts.end())
        return;
    const auto index = static_cast<std::size_t>(found->second.lengthClass);
    this->tokens[index] -= found->second.tokens;
    --this->counts[index];
    this->prompts.erase(found);
}

void PrefillBacklog::recordPrefillTime(std::int64_t prefillTokens, Foundation::Duration elapsed)
{
    // The fixed cost dominates the time of a short prompt, so that time does not show the rate.
    if (prefillTokens < minimumSampleTokens || elapsed <= Foundation::Duration::zero())
        return;
    const double measured = static_cast<double>(prefillTokens) / Foundation::toSeconds(elapsed);
    const double bounded = std::clamp(measured, this->configuredRate * minimumShareOfConfiguredRate,
        this->configuredRate * maximumShareOfConfiguredRate);
    this->rate += rateSmoothingFactor * (bounded - this->rate);
}

std::int64_t PrefillBacklog::tokensAhead(Configuration::LengthClass lengthClass) const
{
    std::int64_t ahead = 0;
    for (const Configuration::LengthClass other : Configuration::allLengthClasses) {
        if (other <= lengthClass)
            ahead += this->tokens[static_cast<std::size_t>(other)];
    }
    return ahead;
}

std::int64_t PrefillBacklog::count(Configuration::LengthClass lengthClass) const
{
    return this->counts[static_cast<std::size_t>(lengthClass)];
}

Foundation::Duration PrefillBacklog::prefillTime(std::int64_t prefillTokens) const
{
    return Foundation::fromSeconds(static_cast<double>(prefillTokens) / this->rate);
}

void PrefillBacklog::setRate(double tokensPerSecond)
{
    if (this->configuredRate == tokensPerSecond)
        return;
    this->configuredRate = tokensPerSecond;
    this->rate = tokensPerSecond;
}

void PrefillBacklog::clear()
{
    this->prompts.clear();
    this->tokens = {};
    this->counts = {};
}

} // namespace Admission
