#include "upstreamdirectory.h"

#include <foundation/identifier.h>

#include <algorithm>

namespace Membership {

namespace {

constexpr char generationSeparator = '/';
// Longer than a copy of the list may be old.
constexpr Foundation::Duration endedGenerationRetention = std::chrono::minutes(5);
constexpr std::size_t maximumEndedGenerations = 4096;

} // namespace

std::string makeGenerationId(std::string_view upstream, std::int64_t startedAtMs)
{
    return std::string(upstream) + generationSeparator + std::to_string(startedAtMs);
}

std::uint64_t entryDigest(const UpstreamEntry& entry)
{
    // The fields come from outside, so they are separated by a byte that none of them contains.
    const std::string text = std::to_string(entry.startedAtMs) + '\0' + entry.service + '\0' + entry.address + '\0'
        + entry.failureDomain + '\0' + std::to_string(entry.slots) + (entry.isDraining ? "d" : "r")
        + std::to_string(Foundation::toMilliseconds(entry.coldLeft));
    return Foundation::hash64(text);
}

void Upstream::setEntry(const UpstreamEntry& newest)
{
    this->entry = newest;
    this->generation = makeGenerationId(newest.id, newest.startedAtMs);
}

UpstreamDirectory::UpstreamDirectory(ChangeHandler onChange)
    : onChange(std::move(onChange))
{
}

void UpstreamDirectory::update(const UpstreamEntry& entry, Foundation::TimePoint now)
{
    const auto found = this->upstreams.find(entry.id);
    if (found == this->upstreams.end()) {
        Upstream& added = this->upstreams[entry.id];
        added.setEntry(entry);
        added.coldUntil = now + entry.coldLeft;
        this->endedGenerations.erase(added.generationId());
        this->report(Change::Added, added);
        return;
    }
    Upstream& listed = found->second;
    if (entry.startedAtMs < listed.entry.startedAtMs)
        return;
    const bool isRestart = entry.startedAtMs != listed.entry.startedAtMs;
    const bool startsDraining = entry.isDraining && (isRestart || !listed.entry.isDraining);
    if (isRestart)
        this->recordEnded(listed, now);
    if (isRestart || entry.address != listed.entry.address)
        listed.isMisaddressed = false;
    listed.setEntry(entry);
    listed.coldUntil = now + entry.coldLeft;
    listed.missingUntil.reset();
    if (isRestart)
        this->report(Change::Restarted, listed);
    if (startsDraining)
        this->report(Change::DrainStarted, listed);
}

void UpstreamDirectory::remove(std::string_view id, Foundation::TimePoint now)
{
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return;
    if (now < this->outageGraceEnd && !found->second.entry.isDraining) {
        found->second.missingUntil = this->outageGraceEnd;
        this->report(Change::Missing, found->second);
        return;
    }
    const Upstream removed = std::move(found->second);
    this->upstreams.erase(found);
    this->recordEnded(removed, now);
    this->report(Change::Removed, removed);
}

bool UpstreamDirectory::isSuperseded(const UpstreamEntry& entry) const
{
    if (this->endedGenerations.contains(makeGenerationId(entry.id, entry.startedAtMs)))
        return true;
    const Upstream* const listed = this->find(entry.id);
    if (!listed)
        return false;
    const bool isSameGeneration = entry.startedAtMs == listed->entry.startedAtMs;
    return entry.startedAtMs < listed->entry.startedAtMs
        || (isSameGeneration && listed->entry.isDraining && !entry.isDraining);
}

void UpstreamDirectory::recordEnded(const Upstream& upstream, Foundation::TimePoint now)
{
    std::erase_if(this->endedGenerations,
        [now](const auto& ended) { return now - ended.second.endedAt >= endedGenerationRetention; });
    if (this->endedGenerations.size() < maximumEndedGenerations)
        this->endedGenerations[upstream.generationId()] = { now, upstream.entry.isDraining };
}

bool UpstreamDirectory::hasEndedUnexpectedly(std::string_view generationId) const
{
    const auto found = this->endedGenerations.find(generationId);
    return found != this->endedGenerations.end() && !found->second.wasDraining;
}

void UpstreamDirectory::extendGracePeriod(Foundation::TimePoint graceEnd)
{
    this->outageGraceEnd = std::max(this->outageGraceEnd, graceEnd);
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.missingUntil)
            upstream.missingUntil = this->outageGraceEnd;
    }
}

void UpstreamDirectory::endGracePeriod(Foundation::TimePoint now)
{
    this->outageGraceEnd = std::min(this->outageGraceEnd, now);
    for (auto& [id, upstream] : this->upstreams) {
        if (upstream.missingUntil)
            upstream.missingUntil = now;
    }
    this->expire(now);
}

void UpstreamDirectory::expire(Foundation::TimePoint now)
{
    for (auto next = this->upstreams.begin(); next != this->upstreams.end();) {
        const auto current = next++;
        if (!current->second.missingUntil || now < *current->second.missingUntil)
            continue;
        const Upstream removed = std::move(current->second);
        this->upstreams.erase(current);
        this->recordEnded(removed, now);
        this->report(Change::Removed, removed);
    }
}

void UpstreamDirectory::markMisaddressed(std::string_view id)
{
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end())
        found->second.isMisaddressed = true;
}

void UpstreamDirectory::setEvacuated(std::set<std::string, std::less<>> failureDomains)
{
    this->evacuatedDomains = std::move(failureDomains);
}

bool UpstreamDirectory::acceptsRequests(const Upstream& upstream) const
{
    return !upstream.entry.isDraining && !upstream.isMisaddressed
        && !this->evacuatedDomains.contains(upstream.entry.failureDomain);
}

std::vector<const Upstream*> UpstreamDirectory::acceptingUpstreams(std::string_view service) const
{
    std::vector<const Upstream*> list;
    for (const auto& [id, upstream] : this->upstreams) {
        if (upstream.entry.service == service && this->acceptsRequests(upstream))
            list.push_back(&upstream);
    }
    return list;
}

const Upstream* UpstreamDirectory::find(std::string_view id) const
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

const Upstream* UpstreamDirectory::findByAddress(std::string_view address) const
{
    const auto found = std::ranges::find_if(
        this->upstreams, [address](const auto& item) { return item.second.entry.address == address; });
    return found == this->upstreams.end() ? nullptr : &found->second;
}

bool UpstreamDirectory::isGenerationListed(std::string_view generationId) const
{
    const auto found = this->upstreams.find(generationId.substr(0, generationId.rfind(generationSeparator)));
    return found != this->upstreams.end() && found->second.generationId() == generationId;
}

void UpstreamDirectory::report(Change change, const Upstream& upstream) const
{
    if (this->onChange)
        this->onChange(change, upstream);
}

} // namespace Membership
