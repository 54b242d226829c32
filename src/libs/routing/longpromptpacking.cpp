#include "longpromptpacking.h"

#include <membership/rendezvoushash.h>

#include <algorithm>
#include <map>

namespace Routing {

namespace {

// From this predicted wait on, an upstream counts as busy with long prompts.
constexpr double busyWaitMs = 1500;

struct Option {
    std::size_t index;
    std::size_t position;
    double waitMs;
};

double longWaitMs(const Candidate& candidate)
{
    const double tokensPerMs = std::max(1.0, static_cast<double>(candidate.load.prefillTokensPerSecond) / 1000);
    return static_cast<double>(candidate.load.longWaitMs)
        + static_cast<double>(candidate.unreportedTokens) / tokensPerMs;
}

// Returns the eligible candidates with their position in the fixed order of their failure domain.
std::vector<Option> rankedOptions(std::span<const Candidate> candidates, const RoutedRequest& request)
{
    std::vector<std::size_t> indices = eligibleIndices(candidates, request);
    std::ranges::sort(indices, std::ranges::greater {},
        [&](std::size_t index) { return Membership::rendezvousScore(request.model, candidates[index].instance); });
    std::map<std::string_view, std::size_t> nextPosition;
    std::vector<Option> options;
    for (const std::size_t index : indices) {
        const std::size_t position = nextPosition[candidates[index].failureDomain]++;
        options.push_back({ index, position, longWaitMs(candidates[index]) });
    }
    return options;
}

} // namespace

std::optional<std::size_t> packLongPrompt(std::span<const Candidate> candidates, const RoutedRequest& request)
{
    const std::vector<Option> options = rankedOptions(candidates, request);
    const Option* best = nullptr;
    for (const Option& option : options) {
        const bool isFree = option.waitMs < busyWaitMs;
        const bool bestIsFree = best && best->waitMs < busyWaitMs;
        const bool isBetter = !best || (isFree && !bestIsFree) || (isFree && option.position < best->position)
            || (isFree == bestIsFree && option.position == best->position && option.waitMs < best->waitMs)
            || (!isFree && !bestIsFree && option.waitMs < best->waitMs);
        if (isBetter)
            best = &option;
    }
    return best ? std::optional(best->index) : std::nullopt;
}

} // namespace Routing
