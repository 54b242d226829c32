#include "predictedlatencyselector.h"

#include "longpromptpacking.h"
#include "prefixaffinity.h"

#include <algorithm>

namespace Routing {

namespace {

// A request is sent to another failure domain if the predicted time in the own domain is more than the time in the
// other one multiplied by the factor, plus the margin.
constexpr double spillFactor = 1.5;
constexpr double spillMarginMs = 10;
// A prompt is sent to the owner of its prefix unless the predicted time there is more than the time at the sampled
// upstream multiplied by this factor, plus the margin above.
constexpr double affinityFactor = 1.25;

struct Prediction {
    std::size_t index;
    double firstTokenMs;
};

// Two samples suffice to avoid the busiest upstreams, and random sampling prevents entries with the same stale load
// reports from all choosing the same upstream (herding).
std::optional<Prediction> sampleBetterOfTwo(std::span<const Candidate> candidates, std::span<const std::size_t> indices,
    const RoutedRequest& request, const RandomBelow& random)
{
    if (indices.empty())
        return std::nullopt;
    const std::size_t first = indices[random(indices.size())];
    const std::size_t second = indices[random(indices.size())];
    const double firstMs = predictFirstTokenMs(candidates[first], request);
    const double secondMs = predictFirstTokenMs(candidates[second], request);
    return firstMs <= secondMs ? Prediction { first, firstMs } : Prediction { second, secondMs };
}

Prediction preferLocal(const std::optional<Prediction>& local, const std::optional<Prediction>& remote)
{
    if (!local)
        return *remote;
    if (!remote)
        return *local;
    const bool spills = local->firstTokenMs > remote->firstTokenMs * spillFactor + spillMarginMs;
    return spills ? *remote : *local;
}

} // namespace

PredictedLatencySelector::PredictedLatencySelector(LongPromptPlacement longPromptPlacement)
    : longPromptPlacement(longPromptPlacement)
{
}

std::optional<std::size_t> PredictedLatencySelector::choose(
    std::span<const Candidate> candidates, const RoutedRequest& request, const RandomBelow& random) const
{
    const bool isLong = request.lengthClass == Configuration::LengthClass::Long;
    if (isLong && this->longPromptPlacement == LongPromptPlacement::Packed)
        return packLongPrompt(candidates, request);
    const std::vector<std::size_t> eligible = eligibleIndices(candidates, request);
    if (eligible.empty())
        return std::nullopt;
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    for (const std::size_t index : eligible)
        (candidates[index].locality == Locality::Local ? local : remote).push_back(index);
    const Prediction sampled = preferLocal(
        sampleBetterOfTwo(candidates, local, request, random), sampleBetterOfTwo(candidates, remote, request, random));
    const auto prefixOwner = findPrefixOwner(candidates, request);
    if (!prefixOwner)
        return sampled.index;
    const double ownerMs = predictFirstTokenMs(candidates[*prefixOwner], request);
    const bool isWithinBound = ownerMs <= sampled.firstTokenMs * affinityFactor + spillMarginMs;
    return isWithinBound ? *prefixOwner : sampled.index;
}

} // namespace Routing
