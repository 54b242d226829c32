#include "topiccache.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace StoreCache {

namespace {

using Position = std::pair<std::uint64_t, std::uint64_t>;

Position positionOf(const KeyedRecord& record) { return { record.era, record.offset }; }

// The position of the last record before an offset; that of an earlier era if there is none.
std::optional<Position> positionBefore(std::uint64_t era, std::uint64_t offset)
{
    if (offset > 0)
        return Position { era, offset - 1 };
    return era > 0 ? std::optional(Position { era - 1, std::numeric_limits<std::uint64_t>::max() }) : std::nullopt;
}

} // namespace

TopicCache::TopicCache(ChangeHandler onChange)
    : onChange(std::move(onChange))
{
}

void TopicCache::beginEra(std::uint64_t newEra)
{
    if (newEra <= this->currentEra)
        return;
    this->currentEra = newEra;
    this->mergedEnd = 0;
    this->deletionsKnownFrom = 0;
    this->isListed = false;
}

bool TopicCache::merge(TopicUpdate update)
{
    if (update.era != this->currentEra || this->hasGapBefore(update))
        return false;
    const bool beginsHistory = update.isListing() && (update.end > this->mergedEnd || this->mergedEnd == 0);
    if (!beginsHistory)
        this->removeUnmergeable(update);
    std::set<std::string, std::less<>> listedKeys;
    for (KeyedRecord& record : update.records) {
        if (beginsHistory)
            listedKeys.insert(record.key);
        this->mergeRecord(std::move(record));
    }
    if (beginsHistory)
        this->beginHistory(listedKeys, update.end);
    else if (!update.isListing())
        this->mergedEnd = std::max(this->mergedEnd, update.end);
    return true;
}

void TopicCache::removeUnmergeable(TopicUpdate& update) const
{
    if (!this->isListed)
        return;
    std::erase_if(update.records, [this](const KeyedRecord& record) {
        return record.era < this->currentEra || record.offset < this->deletionsKnownFrom;
    });
}

void TopicCache::mergeRecord(KeyedRecord record)
{
    const auto found = this->records.find(record.key);
    if (found != this->records.end() && positionOf(found->second) >= positionOf(record))
        return;
    std::string key = record.key;
    KeyedRecord& cached = this->records[std::move(key)];
    cached = std::move(record);
    if (this->onChange)
        this->onChange(cached);
}

void TopicCache::beginHistory(const std::set<std::string, std::less<>>& listedKeys, std::uint64_t end)
{
    const auto last = positionBefore(this->currentEra, end);
    for (auto& [key, record] : this->records) {
        if (!record.value || !last || positionOf(record) > *last || listedKeys.contains(key))
            continue;
        record = { key, std::nullopt, last->second, last->first };
        if (this->onChange)
            this->onChange(record);
    }
    this->mergedEnd = end;
    this->deletionsKnownFrom = end;
    this->isListed = true;
}

TopicUpdate TopicCache::updateFrom(std::uint64_t offset) const
{
    std::vector<KeyedRecord> newer;
    if (offset < this->mergedEnd)
        newer = this->recordsFrom(offset);
    return this->updateFrom(offset, std::move(newer));
}

TopicUpdate TopicCache::updateFrom(std::uint64_t offset, std::vector<KeyedRecord> changes) const
{
    // A range from the beginning would not delete what the other cache has of earlier eras.
    if (offset < this->deletionsKnownFrom || (offset == 0 && this->isListed))
        return this->listAll();
    return TopicUpdate::range(offset, std::move(changes), this->mergedEnd, this->currentEra);
}

TopicUpdate TopicCache::listAll() const
{
    std::vector<KeyedRecord> values;
    for (const auto& [key, record] : this->records) {
        if (record.value)
            values.push_back(record);
    }
    return TopicUpdate::listing(std::move(values), this->mergedEnd, this->currentEra);
}

std::vector<KeyedRecord> TopicCache::recordsFrom(std::uint64_t offset) const
{
    std::vector<KeyedRecord> newer;
    for (const auto& [key, record] : this->records) {
        if (record.era == this->currentEra && record.offset >= offset)
            newer.push_back(record);
    }
    return newer;
}

const KeyedRecord* TopicCache::find(std::string_view key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() || !found->second.value ? nullptr : &found->second;
}

} // namespace StoreCache
