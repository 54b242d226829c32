#include "prefixaffinity.h"

#include <foundation/identifier.h>
#include <membership/rendezvoushash.h>

#include <string>

namespace Routing {

namespace {

// The length of the hashed prefix; shorter bodies have no prefix affinity.
constexpr std::size_t prefixBytes = 8 * 1024;

} // namespace

std::uint64_t hashPromptPrefix(std::string_view body)
{
    if (body.size() < prefixBytes)
        return 0;
    return Foundation::hash64(body.substr(0, prefixBytes));
}

std::optional<std::size_t> findPrefixOwner(std::span<const Candidate> candidates, const RoutedRequest& request)
{
    if (request.prefixHash == 0)
        return std::nullopt;
    const std::string key = std::to_string(request.prefixHash);
    std::optional<std::size_t> best;
    std::uint64_t bestScore = 0;
    for (const std::size_t index : eligibleIndices(candidates, request)) {
        const std::uint64_t score = Membership::rendezvousScore(key, candidates[index].instance);
        if (best && score <= bestScore)
            continue;
        best = index;
        bestScore = score;
    }
    return best;
}

} // namespace Routing
