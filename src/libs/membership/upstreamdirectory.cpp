#include "upstreamdirectory.h"

#include <foundation/identifier.h>

#include <algorithm>
#include <utility>

namespace Membership {

namespace {

constexpr char generationSeparator = '/';
// Upstreams leave within seconds or minutes.
constexpr Foundation::Duration leavingGenerationRetention = std::chrono::hours(1);

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

bool UpstreamDirectory::update(const UpstreamEntry& newest, Foundation::TimePoint now)
{
    const auto found = this->upstreams.find(newest.id);
    const UpstreamEntry entry = this->withStart(newest);
    const EntryOrder::Verdict verdict = this->check(entry);
    if (verdict == EntryOrder::Verdict::Unconfirmed)
        this->order.keepUnconfirmed(entry, now);
    if (verdict != EntryOrder::Verdict::Newest)
        return false;
    if (found == this->upstreams.end()) {
        this->add(entry, now);
        return true;
    }
    Upstream& listed = found->second;
    const bool isRestart = entry.startedAtMs != listed.entry.startedAtMs;
    const bool startsDraining = entry.isDraining && (isRestart || !listed.entry.isDraining);
    if (isRestart)
        this->recordEnded(listed, now);
    this->order.recordWritten(entry);
    if (isRestart || entry.address != listed.entry.address)
        listed.isMisaddressed = false;
    listed.setEntry(entry);
    listed.coldUntil = now + entry.coldLeft;
    listed.missingUntil.reset();
    if (isRestart)
        this->report(Change::Restarted, listed);
    if (startsDraining)
        this->report(Change::DrainStarted, listed);
    return true;
}

void UpstreamDirectory::add(const UpstreamEntry& entry, Foundation::TimePoint now)
{
    Upstream& added = this->upstreams[entry.id];
    added.setEntry(entry);
    added.coldUntil = now + entry.coldLeft;
    this->order.recordWritten(entry);
    this->report(Change::Added, added);
}

UpstreamEntry UpstreamDirectory::withStart(UpstreamEntry entry) const
{
    const Upstream* const listed = this->find(entry.id);
    if (listed && entry.startedAtMs == 0)
        entry.startedAtMs = listed->entry.startedAtMs;
    return entry;
}

EntryOrder::Verdict UpstreamDirectory::check(const UpstreamEntry& entry) const
{
    const Upstream* const listed = this->find(entry.id);
    return this->order.check(entry, listed ? &listed->entry : nullptr);
}

bool UpstreamDirectory::isLate(const UpstreamEntry& entry) const
{
    return this->check(this->withStart(entry)) == EntryOrder::Verdict::Late;
}

void UpstreamDirectory::recordHeartbeat(const UpstreamEntry& entry)
{
    const auto found = this->upstreams.find(entry.id);
    if (found == this->upstreams.end())
        return;
    found->second.entry.sequence = std::max(found->second.entry.sequence, entry.sequence);
    this->order.recordWritten(found->second.entry);
}

void UpstreamDirectory::remove(std::string_view id, Foundation::TimePoint now)
{
    this->order.dropUnconfirmed(id);
    const auto found = this->upstreams.find(id);
    if (found == this->upstreams.end())
        return;
    if (now < this->outageGraceEnd && !this->isLeaving(found->second)) {
        found->second.missingUntil = this->outageGraceEnd;
        this->report(Change::Missing, found->second);
        return;
    }
    const Upstream removed = std::move(found->second);
    this->upstreams.erase(found);
    this->recordEnded(removed, now);
    this->report(Change::Removed, removed);
}

void UpstreamDirectory::removeOverwritten(std::string_view id, Foundation::TimePoint now)
{
    const Upstream* const listed = this->find(id);
    const std::string generation = listed ? listed->generationId() : std::string();
    this->remove(id, now);
    this->order.recordOverwritten(generation);
}

bool UpstreamDirectory::isSuperseded(const UpstreamEntry& entry) const
{
    if (this->order.hasEnded(makeGenerationId(entry.id, entry.startedAtMs)))
        return true;
    const Upstream* const listed = this->find(entry.id);
    if (!listed)
        return false;
    const bool isSameGeneration = entry.startedAtMs == listed->entry.startedAtMs;
    return entry.startedAtMs < listed->entry.startedAtMs
        || (isSameGeneration
            && (entry.sequence < listed->entry.sequence || (listed->entry.isDraining && !entry.isDraining)));
}

void UpstreamDirectory::recordEnded(const Upstream& upstream, Foundation::TimePoint now)
{
    this->order.recordEnded(upstream.entry, this->isLeaving(upstream), now);
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

bool UpstreamDirectory::expire(Foundation::TimePoint now)
{
    bool hasChanged = false;
    for (const UpstreamEntry& entry : this->order.takeConfirmed(now)) {
        if (this->upstreams.contains(entry.id))
            continue;
        this->add(entry, now);
        hasChanged = true;
    }
    for (auto next = this->upstreams.begin(); next != this->upstreams.end();) {
        const auto current = next++;
        if (!current->second.missingUntil || now < *current->second.missingUntil)
            continue;
        const Upstream removed = std::move(current->second);
        this->upstreams.erase(current);
        this->recordEnded(removed, now);
        this->report(Change::Removed, removed);
        hasChanged = true;
    }
    return hasChanged;
}

void UpstreamDirectory::markMisaddressed(std::string_view id)
{
    const auto found = this->upstreams.find(id);
    if (found != this->upstreams.end())
        found->second.isMisaddressed = true;
}

bool UpstreamDirectory::markLeaving(std::string_view generationId, Foundation::TimePoint now)
{
    std::erase_if(this->leavingGenerations,
        [now](const auto& leaving) { return now - leaving.second >= leavingGenerationRetention; });
    return this->leavingGenerations.try_emplace(std::string(generationId), now).second;
}

bool UpstreamDirectory::isLeaving(const Upstream& upstream) const
{
    return upstream.entry.isDraining || this->leavingGenerations.contains(upstream.generationId());
}

void UpstreamDirectory::setEvacuated(std::set<std::string, std::less<>> failureDomains)
{
    this->evacuatedDomains = std::move(failureDomains);
}

bool UpstreamDirectory::acceptsRequests(const Upstream& upstream) const
{
    return !this->isLeaving(upstream) && !upstream.isMisaddressed
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
