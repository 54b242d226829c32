#include "loadledger.h"

namespace Placement {

namespace {

template <typename Shares> void change(Shares& shares, const UpstreamShare& difference, int sign)
{
    UpstreamShare& share = shares[difference.upstream];
    share.upstream = difference.upstream;
    if (sign > 0)
        share.add(difference);
    else
        share.subtract(difference);
    if (share.isEmpty())
        shares.erase(difference.upstream);
}

} // namespace

JobId LoadLedger::begin(Job job)
{
    const JobId id = ++this->lastJob;
    for (const ReadingPart& part : job.parts)
        this->apply({ part.upstream, part.readingUs, 0, 0, {} }, 1);
    this->apply(this->shareOf(job, job.upstream), 1);
    this->jobs[id] = std::move(job);
    return id;
}

void LoadLedger::noteReadingDone(JobId id)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    for (const ReadingPart& part : found->second.parts)
        this->apply({ part.upstream, part.readingUs, 0, 0, {} }, -1);
    found->second.parts.clear();
}

void LoadLedger::end(JobId id)
{
    this->noteReadingDone(id);
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end())
        return;
    this->apply(this->shareOf(found->second, found->second.upstream), -1);
    this->jobs.erase(found);
}

void LoadLedger::setPeerShares(std::string_view peer, std::span<const UpstreamShare> shares, bool isComplete)
{
    if (isComplete)
        this->dropPeer(peer);
    Shares& known = this->peers[std::string(peer)];
    for (const UpstreamShare& share : shares) {
        const auto old = known.find(share.upstream);
        if (old != known.end()) {
            change(this->totals, old->second, -1);
            known.erase(old);
        }
        if (share.isEmpty())
            continue;
        known[share.upstream] = share;
        change(this->totals, share, 1);
    }
}

void LoadLedger::dropPeer(std::string_view peer)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return;
    for (const auto& [upstream, share] : found->second)
        change(this->totals, share, -1);
    this->peers.erase(found);
}

const UpstreamShare& LoadLedger::loadOf(std::string_view upstream) const
{
    static const UpstreamShare idle;
    const auto found = this->totals.find(upstream);
    return found == this->totals.end() ? idle : found->second;
}

std::vector<UpstreamShare> LoadLedger::takeChanges()
{
    std::vector<UpstreamShare> list;
    for (const std::string& upstream : this->changed) {
        const auto found = this->own.find(upstream);
        list.push_back(found == this->own.end() ? UpstreamShare { upstream, 0, 0, 0, {} } : found->second);
    }
    this->changed.clear();
    return list;
}

std::vector<UpstreamShare> LoadLedger::ownShares() const
{
    std::vector<UpstreamShare> list;
    for (const auto& [upstream, share] : this->own)
        list.push_back(share);
    return list;
}

UpstreamShare LoadLedger::shareOf(const Job& job, std::string_view upstream) const
{
    UpstreamShare share { std::string(upstream), 0, 1, job.tokens, {} };
    if (job.gapMs > 0)
        share.groups[job.gapMs] = { 1, job.weight };
    return share;
}

void LoadLedger::apply(const UpstreamShare& share, int sign)
{
    change(this->own, share, sign);
    change(this->totals, share, sign);
    this->changed.insert(share.upstream);
}

} // namespace Placement
