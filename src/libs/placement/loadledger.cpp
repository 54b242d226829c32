#include "loadledger.h"

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

// Engines decode while they prefill, so prefill work progresses more slowly than time.
constexpr double prefillProgressRate = 0.85;
// The part of the outstanding prefill work that is still expected once its estimated end has passed.
constexpr double overdueFraction = 0.2;

template <typename Usages> void applyUsage(Usages& usages, const UpstreamShare& change, int sign)
{
    UpstreamShare& usage = usages[change.upstream];
    usage.upstream = change.upstream;
    if (sign > 0)
        usage.add(change);
    else
        usage.subtract(change);
    if (usage.isEmpty())
        usages.erase(change.upstream);
}

} // namespace

LoadLedger::LoadLedger(const Foundation::Clock& clock)
    : clock(clock)
{
}

JobId LoadLedger::begin(Job request)
{
    const JobId id = ++this->lastId;
    for (const ReadingPart& part : request.parts)
        this->applyPrefill(request, part, 1);
    this->applyReservation(request, 1);
    this->inFlight[id] = std::move(request);
    return id;
}

void LoadLedger::noteReadingDone(JobId id)
{
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end())
        return;
    for (ReadingPart& part : found->second.parts) {
        this->applyPrefill(found->second, part, -1);
        part.readingUs = 0;
    }
}

void LoadLedger::end(JobId id)
{
    this->noteReadingDone(id);
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end())
        return;
    this->applyReservation(found->second, -1);
    this->inFlight.erase(found);
}

void LoadLedger::setPeerShares(std::string_view peer, std::span<const UpstreamShare> usages, bool isComplete)
{
    UsageByUpstream& peerUsage = this->usageByPeer[std::string(peer)];
    std::set<std::string, std::less<>> listed;
    const auto replace = [&](const UpstreamShare& usage) {
        // Applies only the change: prefill work in progress must not count as if it had just started.
        UpstreamShare change = usage;
        const auto previous = peerUsage.find(usage.upstream);
        if (previous != peerUsage.end())
            change.subtract(previous->second);
        this->applyTotal(change, 1);
        if (usage.isEmpty())
            peerUsage.erase(usage.upstream);
        else
            peerUsage[usage.upstream] = usage;
    };
    for (const UpstreamShare& usage : usages) {
        listed.insert(usage.upstream);
        replace(usage);
    }
    if (!isComplete)
        return;
    std::vector<std::string> removed;
    for (const auto& [upstream, usage] : peerUsage) {
        if (!listed.contains(upstream))
            removed.push_back(upstream);
    }
    for (const std::string& upstream : removed)
        replace({ upstream, 0, 0, 0, {}, 0 });
}

void LoadLedger::dropPeer(std::string_view peer)
{
    this->setPeerShares(peer, {}, true);
    this->usageByPeer.erase(this->usageByPeer.find(peer));
}

const UpstreamShare& LoadLedger::loadOf(std::string_view upstream) const
{
    static const UpstreamShare noUsage;
    const auto found = this->totalByUpstream.find(upstream);
    return found == this->totalByUpstream.end() ? noUsage : found->second;
}

Foundation::Duration LoadLedger::readingLeft(std::string_view upstream) const
{
    const auto outstanding = std::chrono::microseconds(std::max<std::int64_t>(0, this->loadOf(upstream).readingUs));
    const auto found = this->prefillEnds.find(upstream);
    if (outstanding.count() == 0 || found == this->prefillEnds.end())
        return {};
    const double total = Foundation::toSeconds(outstanding);
    const double remaining = Foundation::toSeconds(found->second - this->clock.now()) * prefillProgressRate;
    return Foundation::fromSeconds(std::clamp(remaining, overdueFraction * total, total));
}

std::vector<UpstreamShare> LoadLedger::takeChanges()
{
    std::vector<UpstreamShare> usages;
    for (const std::string& upstream : this->changedUpstreams) {
        const auto found = this->ownByUpstream.find(upstream);
        usages.push_back(
            found == this->ownByUpstream.end() ? UpstreamShare { upstream, 0, 0, 0, {}, 0 } : found->second);
    }
    this->changedUpstreams.clear();
    return usages;
}

std::vector<UpstreamShare> LoadLedger::ownShares() const
{
    std::vector<UpstreamShare> usages;
    for (const auto& [upstream, usage] : this->ownByUpstream)
        usages.push_back(usage);
    return usages;
}

void LoadLedger::applyPrefill(const Job& request, const ReadingPart& part, int sign)
{
    const bool isOwn = part.upstream == request.upstream;
    this->applyOwn({ part.upstream, part.readingUs, 0, 0, {}, isOwn ? part.readingUs : 0 }, sign);
}

void LoadLedger::applyReservation(const Job& request, int sign)
{
    UpstreamShare usage { request.upstream, 0, 1, request.tokens, {}, 0 };
    if (request.gapMs > 0)
        usage.groups[request.gapMs] = { 1, request.weight };
    this->applyOwn(usage, sign);
    for (const ReadingPart& part : request.parts) {
        if (part.heldTokens > 0)
            this->applyOwn({ part.upstream, 0, 0, part.heldTokens, {}, 0 }, sign);
    }
}

void LoadLedger::applyOwn(const UpstreamShare& usage, int sign)
{
    applyUsage(this->ownByUpstream, usage, sign);
    this->applyTotal(usage, sign);
    this->changedUpstreams.insert(usage.upstream);
}

void LoadLedger::applyTotal(const UpstreamShare& usage, int sign)
{
    applyUsage(this->totalByUpstream, usage, sign);
    const std::int64_t addedUs = sign * usage.readingUs;
    if (this->loadOf(usage.upstream).readingUs <= 0) {
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
