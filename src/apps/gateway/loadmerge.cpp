#include "loadmerge.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Gateway {

namespace {

bool isSameProcess(const Wire::PeerLoad& load, const Wire::PeerLoad& other)
{
    return load.process == other.process && load.incarnation == other.incarnation;
}

void applyNewer(Wire::PeerLoad& load, Wire::PeerLoad newer)
{
    if (newer.isComplete) {
        load = std::move(newer);
        return;
    }
    load.number = newer.number;
    for (Placement::UpstreamUsage& usage : newer.usages) {
        const auto found = std::ranges::find(load.usages, usage.upstream, &Placement::UpstreamUsage::upstream);
        if (found == load.usages.end())
            load.usages.push_back(std::move(usage));
        else
            *found = std::move(usage);
    }
}

} // namespace

std::vector<Wire::PeerLoad> mergeLoads(std::vector<Wire::PeerLoad> loads)
{
    std::ranges::sort(loads, [](const auto& load, const auto& other) {
        return std::tie(load.process, load.incarnation, load.number)
            < std::tie(other.process, other.incarnation, other.number);
    });
    std::vector<Wire::PeerLoad> merged;
    for (Wire::PeerLoad& load : loads) {
        if (!merged.empty() && isSameProcess(merged.back(), load))
            applyNewer(merged.back(), std::move(load));
        else
            merged.push_back(std::move(load));
    }
    return merged;
}

} // namespace Gateway
