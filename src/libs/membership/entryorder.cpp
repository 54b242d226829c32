#include "entryorder.h"

#include <algorithm>

namespace Membership {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// Longer than a copy of the list may be old.
constexpr Duration endedGenerationRetention = std::chrono::minutes(5);
constexpr std::size_t maximumEndedGenerations = 4096;
constexpr std::size_t maximumUnconfirmedEntries = 4096;

std::string generationOf(const UpstreamEntry& entry) { return makeGenerationId(entry.id, entry.startedAtMs); }

} // namespace

EntryOrder::Verdict EntryOrder::check(const UpstreamEntry& entry, const UpstreamEntry* listed) const
{
    // An upstream that does not say when it was started may have been restarted and count from the beginning.
    const bool namesStart = entry.startedAtMs != 0;
    if (listed && entry.startedAtMs == listed->startedAtMs) {
        if (entry.sequence >= listed->sequence)
            return Verdict::Newest;
        return namesStart ? Verdict::Late : this->confirm(entry);
    }
    const auto ended = this->endedGenerations.find(generationOf(entry));
    if (ended != this->endedGenerations.end()) {
        if (namesStart && entry.sequence <= ended->second.last.sequence)
            return Verdict::Late;
        return ended->second.isOverwritten ? Verdict::Newest : this->confirm(entry);
    }
    const EndedGeneration* const previous = listed ? nullptr : this->lastEnded(entry.id);
    const UpstreamEntry* const known = previous ? &previous->last : listed;
    const bool isPossiblyEarlier = known && entry.startedAtMs < known->startedAtMs && entry.sequence > known->sequence;
    return isPossiblyEarlier ? this->confirm(entry) : Verdict::Newest;
}

EntryOrder::Verdict EntryOrder::confirm(const UpstreamEntry& entry) const
{
    const auto kept = this->unconfirmed.find(generationOf(entry));
    const bool isFollowing = kept != this->unconfirmed.end() && entry.sequence > kept->second.entry.sequence;
    return isFollowing ? Verdict::Newest : Verdict::Unconfirmed;
}

void EntryOrder::keepUnconfirmed(const UpstreamEntry& entry, TimePoint now)
{
    if (this->unconfirmed.size() < maximumUnconfirmedEntries)
        this->unconfirmed.try_emplace(generationOf(entry), UnconfirmedEntry { entry, now });
}

void EntryOrder::recordWritten(const UpstreamEntry& entry)
{
    this->endedGenerations.erase(generationOf(entry));
    this->dropUnconfirmed(entry.id);
}

void EntryOrder::recordEnded(const UpstreamEntry& last, bool isExpected, TimePoint now)
{
    std::erase_if(this->endedGenerations,
        [now](const auto& ended) { return now - ended.second.endedAt >= endedGenerationRetention; });
    if (this->endedGenerations.size() < maximumEndedGenerations)
        this->endedGenerations[generationOf(last)] = { last, now, isExpected };
}

void EntryOrder::recordOverwritten(const std::string& generationId)
{
    const auto found = this->endedGenerations.find(generationId);
    if (found != this->endedGenerations.end())
        found->second.isOverwritten = true;
}

void EntryOrder::dropUnconfirmed(std::string_view id)
{
    std::erase_if(this->unconfirmed, [id](const auto& kept) { return kept.second.entry.id == id; });
}

std::vector<UpstreamEntry> EntryOrder::takeConfirmed(TimePoint now)
{
    std::vector<UpstreamEntry> confirmed;
    std::erase_if(this->unconfirmed, [&confirmed, now](const auto& kept) {
        if (now - kept.second.since < confirmationTime)
            return false;
        confirmed.push_back(kept.second.entry);
        return true;
    });
    return confirmed;
}

bool EntryOrder::hasEndedUnexpectedly(std::string_view generationId) const
{
    const auto found = this->endedGenerations.find(generationId);
    return found != this->endedGenerations.end() && !found->second.isExpected;
}

const EntryOrder::EndedGeneration* EntryOrder::lastEnded(std::string_view id) const
{
    const EndedGeneration* last = nullptr;
    for (auto next = this->endedGenerations.lower_bound(id);
         next != this->endedGenerations.end() && next->first.starts_with(id); ++next) {
        if (next->second.last.id == id && (!last || next->second.endedAt > last->endedAt))
            last = &next->second;
    }
    return last;
}

} // namespace Membership
