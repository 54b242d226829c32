#include "loadledger.h"

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

// Engines decode while they prefill, so prefill work progresses more slowly than time.
constexpr double prefillProgressRate = 0.85;
// The part of the outstanding prefill work that is still expected once its estimated end has passed.
constexpr double overdueFraction = 0.2;

template <typename Usages> void applyUsage(Usages& usages, const UpstreamUsage& change, int sign)
{
    UpstreamUsage& usage = usages[change.upstream];
    usage.upstream = change.upstream;
    if (sign > 0)
        usage.add(change);
    else
        usage.subtract(change);
    if (usage.isEmpty())
        usages.erase(change.upstream);
}

// Returns how many streams a change adds. Streams that ended in the same time hide those that were added.
double addedStreams(const UpstreamUsage& change)
{
    std::int64_t count = 0;
    for (const auto& [eventGapTargetMs, group] : change.streamsByGapMs)
        count += std::max<std::int64_t>(0, group.count);
    return static_cast<double>(count);
}

} // namespace

LoadLedger::LoadLedger(const Foundation::Clock& clock)
    : clock(clock)
{
}

DispatchedRequestId LoadLedger::addRequest(DispatchedRequest request)
{
    const DispatchedRequestId id = ++this->lastId;
    for (const PrefillPart& part : request.parts)
        this->applyPrefill(request, part, 1);
    this->applyReservation(request, 1);
    this->inFlight[id] = std::move(request);
    return id;
}

void LoadLedger::recordPrefillDone(DispatchedRequestId id)
{
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end())
        return;
    for (PrefillPart& part : found->second.parts) {
        this->applyPrefill(found->second, part, -1);
        part.prefillUs = 0;
    }
}

void LoadLedger::removeRequest(DispatchedRequestId id)
{
    this->recordPrefillDone(id);
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end())
        return;
    this->applyReservation(found->second, -1);
    this->inFlight.erase(found);
}

DispatchedWork LoadLedger::setPeerUsage(std::string_view peer, std::span<const UpstreamUsage> usages, bool isComplete)
{
    const auto known = this->usageByPeer.find(peer);
    const bool isFirst = known == this->usageByPeer.end();
    UsageByUpstream& peerUsage = isFirst ? this->usageByPeer[std::string(peer)] : known->second;
    DispatchedWork dispatched;
    std::set<std::string, std::less<>> listed;
    const auto replace = [&](const UpstreamUsage& usage) {
        // Applies only the change: prefill work in progress must not count as if it had just started.
        UpstreamUsage change = usage;
        const auto previous = peerUsage.find(usage.upstream);
        if (previous != peerUsage.end())
            change.subtract(previous->second);
        dispatched.requests += addedStreams(change);
        dispatched.prefillSeconds += static_cast<double>(std::max<std::int64_t>(0, change.prefillUs)) / 1e6;
        this->applyTotal(change, 1);
        if (usage.isEmpty())
            peerUsage.erase(usage.upstream);
        else
            peerUsage[usage.upstream] = usage;
    };
    for (const UpstreamUsage& usage : usages) {
        listed.insert(usage.upstream);
        replace(usage);
    }
    if (!isComplete)
        return dispatched;
    std::vector<std::string> removed;
    for (const auto& [upstream, usage] : peerUsage) {
        if (!listed.contains(upstream))
            removed.push_back(upstream);
    }
    for (const std::string& upstream : removed)
        replace({ upstream, 0, 0, 0, {}, 0 });
    return isFirst ? DispatchedWork {} : dispatched;
}

void LoadLedger::dropPeer(std::string_view peer)
{
    this->setPeerUsage(peer, {}, true);
    this->usageByPeer.erase(this->usageByPeer.find(peer));
}

const UpstreamUsage& LoadLedger::totalUsage(std::string_view upstream) const
{
    static const UpstreamUsage noUsage;
    const auto found = this->totalByUpstream.find(upstream);
    return found == this->totalByUpstream.end() ? noUsage : found->second;
}

Foundation::Duration LoadLedger::remainingPrefill(std::string_view upstream) const
{
    const auto outstanding = std::chrono::microseconds(std::max<std::int64_t>(0, this->totalUsage(upstream).prefillUs));
    const auto found = this->prefillEnds.find(upstream);
    if (outstanding.count() == 0 || found == this->prefillEnds.end())
        return {};
    const double total = Foundation::toSeconds(outstanding);
    const double remaining = Foundation::toSeconds(found->second - this->clock.now()) * prefillProgressRate;
    return Foundation::fromSeconds(std::clamp(remaining, overdueFraction * total, total));
}

std::vector<UpstreamUsage> LoadLedger::takeChanges()
{
    std::vector<UpstreamUsage> usages;
    for (const std::string& upstream : this->changedUpstreams) {
        const auto found = this->ownByUpstream.find(upstream);
        usages.push_back(
            found == this->ownByUpstream.end() ? UpstreamUsage { upstream, 0, 0, 0, {}, 0 } : found->second);
    }
    this->changedUpstreams.clear();
    return usages;
}

std::vector<UpstreamUsage> LoadLedger::ownUsage() const
{
    std::vector<UpstreamUsage> usages;
    for (const auto& [upstream, usage] : this->ownByUpstream)
        usages.push_back(usage);
    return usages;
}

void LoadLedger::applyPrefill(const DispatchedRequest& request, const PrefillPart& part, int sign)
{
    const bool isOwn = part.upstream == request.upstream;
    this->applyOwn({ part.upstream, part.prefillUs, 0, 0, {}, isOwn ? part.prefillUs : 0 }, sign);
}

void LoadLedger::applyReservation(const DispatchedRequest& request, int sign)
{
    UpstreamUsage usage { request.upstream, 0, 1, request.reservedTokens, {}, 0 };
    if (request.eventGapTargetMs > 0)
        usage.streamsByGapMs[request.eventGapTargetMs] = { 1, request.weight };
    this->applyOwn(usage, sign);
    for (const PrefillPart& part : request.parts) {
        if (part.reservedTokens > 0)
            this->applyOwn({ part.upstream, 0, 0, part.reservedTokens, {}, 0 }, sign);
    }
}

void LoadLedger::applyOwn(const UpstreamUsage& usage, int sign)
{
    applyUsage(this->ownByUpstream, usage, sign);
    this->applyTotal(usage, sign);
    this->changedUpstreams.insert(usage.upstream);
}

void LoadLedger::applyTotal(const UpstreamUsage& usage, int sign)
{
    applyUsage(this->totalByUpstream, usage, sign);
    const std::int64_t addedUs = sign * usage.prefillUs;
    if (this->totalUsage(usage.upstream).prefillUs <= 0) {
        this->prefillEnds.erase(usage.upstream);
        return;
    }
    if (addedUs <= 0)
        return;
    Foundation::TimePoint& end = this->prefillEnds[usage.upstream];
    const double seconds = static_cast<double>(addedUs) / 1e6 / prefillProgressRate;
    end = std::max(end, this->clock.now()) + Foundation::fromSeconds(seconds);
}

} // namespace Placement
