// How the store synchronizer applies the records of the store's topics.

#include "storesynchronizer.h"

#include <foundation/logging.h>

#include "platform/policydecoder.h"
#include "platform/upstreamdecoder.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using Membership::UpstreamDirectory;
using StoreCache::KeyedRecord;

const char* changeName(UpstreamDirectory::Change change)
{
    switch (change) {
    case UpstreamDirectory::Change::Added:
        return "added";
    case UpstreamDirectory::Change::Restarted:
        return "restarted";
    case UpstreamDirectory::Change::DrainStarted:
        return "drained";
    case UpstreamDirectory::Change::Missing:
        return "missing";
    case UpstreamDirectory::Change::Removed:
        return "removed";
    }
    return "";
}

Event eventForChange(UpstreamDirectory::Change change)
{
    switch (change) {
    case UpstreamDirectory::Change::Added:
    case UpstreamDirectory::Change::Restarted:
        return Event::UpstreamListed;
    case UpstreamDirectory::Change::DrainStarted:
        return Event::UpstreamDraining;
    case UpstreamDirectory::Change::Missing:
        return Event::UpstreamMissing;
    case UpstreamDirectory::Change::Removed:
        return Event::UpstreamRemoved;
    }
    return Event::UpstreamListed;
}

void logIgnoredEntry(const KeyedRecord& record, const Membership::UpstreamEntry& entry, std::string_view reason)
{
    logEvent(Event::EntryIgnored, "",
        "key=" + record.key + " offset=" + std::to_string(record.offset) + " reason=" + std::string(reason)
            + " generation=" + Membership::makeGenerationId(entry.id, entry.startedAtMs)
            + " sequence=" + std::to_string(entry.sequence));
}

} // namespace

void StoreSynchronizer::onOperatorRecord(const KeyedRecord& record)
{
    this->hasChanged = true;
    if (record.key == PlatformAdapter::documentKey)
        this->applyPolicy(record);
    else if (record.key.starts_with(PlatformAdapter::evacuationPrefix))
        this->updateEvacuated();
}

void StoreSynchronizer::applyPolicy(const KeyedRecord& record)
{
    if (!record.value)
        return;
    auto decoded = PlatformAdapter::decodePolicy(*record.value);
    const auto current = this->policy();
    const std::string position = "offset=" + std::to_string(record.offset);
    if (!decoded) {
        logEvent(Event::ConfigurationRejected, "", position + " reason=" + decoded.error().message);
        return;
    }
    if (current && decoded.value()->version() < current->version()) {
        logEvent(Event::ConfigurationRejected, "",
            position + " reason=older version=" + std::to_string(decoded.value()->version()));
        return;
    }
    const std::string version = std::to_string(decoded.value()->version());
    this->policyCell.publish(std::move(decoded.value()));
    logEvent(
        Event::ConfigurationInForce, "", "version=" + version + " " + position + " age_ms=" + this->cacheAgeText());
}

void StoreSynchronizer::updateEvacuated()
{
    this->isEvacuationUpdatePending = this->isSettling();
    if (this->isEvacuationUpdatePending)
        return;
    std::set<std::string, std::less<>> domains;
    std::string names;
    for (const auto& [key, record] : this->operatorRecords.all()) {
        if (!record.value || !key.starts_with(PlatformAdapter::evacuationPrefix))
            continue;
        domains.insert(key.substr(PlatformAdapter::evacuationPrefix.size()));
        names += (names.empty() ? "" : ",") + key.substr(PlatformAdapter::evacuationPrefix.size());
    }
    this->upstreamDirectory.setEvacuated(std::move(domains));
    logEvent(Event::EvacuationChanged, "", "failure_domains=" + names);
}

void StoreSynchronizer::onUpstreamRecord(const KeyedRecord& record)
{
    const TimePoint now = this->clock.now();
    const auto entry = record.value ? PlatformAdapter::decodeUpstream(record.key, *record.value) : std::nullopt;
    if (entry && this->upstreamDirectory.isLate(*entry)) {
        this->ignoreLateEntry(record, *entry);
        return;
    }
    const std::uint64_t digest = entry ? Membership::entryDigest(*entry) : 0;
    if (std::exchange(this->upstreamDigests[record.key], digest) == digest && entry) {
        this->upstreamDirectory.recordHeartbeat(*entry);
        return;
    }
    this->hasChanged = true;
    this->upstreamChanges.push_back(record);
    if (!record.value) {
        this->upstreamDirectory.remove(record.key, now);
        return;
    }
    if (entry && this->isMergingCopy && this->upstreamDirectory.isSuperseded(*entry)) {
        // What the upstream writes itself is read again, although it may look the same.
        this->upstreamDigests.erase(record.key);
        return;
    }
    if (entry) {
        if (!this->upstreamDirectory.update(*entry, now)) {
            this->upstreamDigests.erase(record.key);
            logIgnoredEntry(record, *entry, "unconfirmed");
        }
        return;
    }
    this->metrics.counter("bluebell_ignored_entries_total").fetch_add(1);
    logEvent(Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset));
    this->upstreamDirectory.removeOverwritten(record.key, now);
}

void StoreSynchronizer::ignoreLateEntry(const KeyedRecord& record, const Membership::UpstreamEntry& entry)
{
    // The next heartbeat may look like the entry in force, but a gateway that listed the late one has to be told of it.
    this->upstreamDigests.erase(record.key);
    if (this->isMergingCopy)
        return;
    this->metrics.counter("bluebell_late_entries_total").fetch_add(1);
    logIgnoredEntry(record, entry, "late");
}

void StoreSynchronizer::onPeerRecord(const KeyedRecord& record)
{
    if (record.key == PlatformAdapter::settledEraKey) {
        const std::string text = record.value.value_or("");
        std::uint64_t recorded = 0;
        const char* const end = text.data() + text.size();
        if (std::from_chars(text.data(), end, recorded).ptr != end)
            logEvent(Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset));
        else
            // May be lower than before, if the store executed the write late. It is then recorded again.
            this->settledEra = recorded;
        if (this->era > 0 && this->settledEra >= this->era)
            this->startCheck.recordSettled();
        return;
    }
    // An earlier process of this machine may have had another address, and its write may be executed late.
    const bool isOwn = record.key == this->settings.node.name;
    if (isOwn && record.value != this->settings.node.peerEndpoint.text())
        this->isRegistered = false;
    if (record.value)
        this->peerAddresses[record.key] = *record.value;
    else
        this->peerAddresses.erase(record.key);
    this->handlers.onPeersChanged(this->peerAddresses);
}

void StoreSynchronizer::onUpstreamChange(UpstreamDirectory::Change change, const Membership::Upstream& upstream) const
{
    logEvent(eventForChange(change), "",
        "upstream=" + upstream.generationId() + " change=" + changeName(change) + " service=" + upstream.entry.service
            + " address=" + upstream.entry.address + " domain=" + upstream.entry.failureDomain);
    if (change == UpstreamDirectory::Change::Removed)
        this->handlers.onUpstreamRemoved(upstream.generationId());
}

} // namespace Gateway
