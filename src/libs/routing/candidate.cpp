#include "candidate.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr double remoteHopMs = 2;
// The cost of each request in the system and of each one above the concurrency limit.
constexpr double requestCostMs = 1;
constexpr double overLimitCostMs = 50;

} // namespace

bool isEligible(const Candidate& candidate, const RoutedRequest& request)
{
    if (candidate.load.availability != Membership::Availability::Available)
        return false;
    if (request.memoryTokens > candidate.load.capacityTokens)
        return false;
    return std::ranges::find(request.excluded, candidate.instance) == request.excluded.end();
}

double predictFirstTokenMs(const Candidate& candidate, const RoutedRequest& request)
{
    const Membership::UpstreamLoad& load = candidate.load;
    const double tokensPerMs = std::max(1.0, static_cast<double>(load.prefillTokensPerSecond) / 1000);
    const bool isLong = request.lengthClass == Configuration::LengthClass::Long;
    const auto reportedWait = static_cast<double>(isLong ? load.longWaitMs : load.shortWaitMs);
    const double unreportedWait = static_cast<double>(candidate.unreportedTokens) / tokensPerMs;
    const double prefill = static_cast<double>(request.promptTokens) / tokensPerMs;
    const std::int64_t inSystem = load.running + load.queued + candidate.unreportedRequests;
    const double overLimit = static_cast<double>(std::max<std::int64_t>(0, inSystem + 1 - load.concurrentLimit));
    const double hop = candidate.locality == Locality::Remote ? remoteHopMs : 0;
    // An engine with more requests decodes larger batches, so the number of requests breaks ties between empty queues.
    const double batching = requestCostMs * static_cast<double>(inSystem);
    return reportedWait + unreportedWait + prefill + overLimit * overLimitCostMs + batching + hop;
}

std::vector<std::size_t> eligibleIndices(std::span<const Candidate> candidates, const RoutedRequest& request)
{
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isEligible(candidates[i], request))
            indices.push_back(i);
    }
    return indices;
}

} // namespace Routing
