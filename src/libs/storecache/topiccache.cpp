#include "topiccache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace StoreCache {

namespace {

std::pair<std::uint64_t, std::uint64_t> positionOf(const KeyedRecord& record) { return { record.era, record.offset }; }

} // namespace

TopicCache::TopicCache(ChangeHandler onChange)
    : onChange(std::move(onChange))
{
}

bool TopicCache::merge(KeyedRecord record)
{
    const auto found = this->records.find(record.key);
    if (found != this->records.end() && positionOf(found->second) >= positionOf(record))
        return false;
    std::string key = record.key;
    KeyedRecord& cached = this->records[std::move(key)];
    cached = std::move(record);
    if (this->onChange)
        this->onChange(cached);
    return true;
}

void TopicCache::beginEra(std::uint64_t newEra)
{
    if (newEra <= this->currentEra)
        return;
    this->currentEra = newEra;
    this->mergedEnd = 0;
}

void TopicCache::mergeRange(std::vector<KeyedRecord> range, std::uint64_t end, std::uint64_t rangeEra)
{
    if (rangeEra != this->currentEra)
        return;
    for (KeyedRecord& record : range)
        this->merge(std::move(record));
    this->mergedEnd = std::max(this->mergedEnd, end);
}

void TopicCache::mergeListing(std::vector<KeyedRecord> listing, std::uint64_t end, std::uint64_t listingEra)
{
    if (listingEra != this->currentEra)
        return;
    std::set<std::string, std::less<>> listedKeys;
    for (KeyedRecord& record : listing) {
        listedKeys.insert(record.key);
        this->merge(std::move(record));
    }
    std::vector<KeyedRecord> deleted;
    for (const auto& [key, record] : this->records) {
        const bool isBeforeListing = record.era < listingEra || record.offset < end;
        if (record.value && isBeforeListing && !listedKeys.contains(key))
            deleted.push_back({ key, std::nullopt, end > 0 ? end - 1 : 0, listingEra });
    }
    for (KeyedRecord& record : deleted)
        this->merge(std::move(record));
    this->mergedEnd = std::max(this->mergedEnd, end);
}

std::vector<KeyedRecord> TopicCache::recordsFrom(std::uint64_t offset) const
{
    std::vector<KeyedRecord> newer;
    for (const auto& [key, record] : this->records) {
        const bool isNewer = record.era == this->currentEra && record.offset >= offset;
        if (isNewer || offset == 0)
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
