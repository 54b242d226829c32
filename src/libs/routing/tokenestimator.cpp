#include "tokenestimator.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

// The weight of one report in the moving average of the ratio.
constexpr double reportWeight = 0.02;
// Reports that differ from the initial ratio by more than this factor are clamped.
constexpr double maximumCorrectionFactor = 4;

} // namespace

TokenEstimator::TokenEstimator(double bytesPerToken)
    : ratio(bytesPerToken)
    , initialRatio(bytesPerToken)
{
}

std::int64_t TokenEstimator::estimate(std::uint64_t bytes) const
{
    const double tokens = static_cast<double>(bytes) / this->ratio.load(std::memory_order_relaxed);
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(tokens)));
}

void TokenEstimator::recordUsage(std::uint64_t bytes, std::int64_t tokens)
{
    if (tokens <= 0)
        return;
    const double reported = static_cast<double>(bytes) / static_cast<double>(tokens);
    const double bounded = std::clamp(
        reported, this->initialRatio / maximumCorrectionFactor, this->initialRatio * maximumCorrectionFactor);
    const double old = this->ratio.load(std::memory_order_relaxed);
    this->ratio.store(old + reportWeight * (bounded - old), std::memory_order_relaxed);
}

} // namespace Routing
