#include "topiccache.h"

#include <algorithm>
#include <set>

namespace StoreCache {

TopicCache::TopicCache(ChangeHandler onChange)
    : onChange(std::move(onChange))
{
}

bool TopicCache::merge(KeyedRecord record)
{
    const auto found = this->records.find(record.key);
    if (found != this->records.end() && found->second.offset >= record.offset)
        return false;
    std::string key = record.key;
    KeyedRecord& cached = this->records[std::move(key)];
    cached = std::move(record);
    if (this->onChange)
        this->onChange(cached);
    return true;
}

void TopicCache::mergeRange(std::vector<KeyedRecord> range, std::uint64_t end)
{
    for (KeyedRecord& record : range)
        this->merge(std::move(record));
    this->mergedEnd = std::max(this->mergedEnd, end);
}

void TopicCache::mergeListing(std::vector<KeyedRecord> listing, std::uint64_t end)
{
    std::set<std::string, std::less<>> listedKeys;
    for (KeyedRecord& record : listing) {
        listedKeys.insert(record.key);
        this->merge(std::move(record));
    }
    std::vector<KeyedRecord> deleted;
    for (const auto& [key, record] : this->records) {
        if (record.value && record.offset < end && !listedKeys.contains(key))
            deleted.push_back({ key, std::nullopt, end - 1 });
    }
    for (KeyedRecord& record : deleted)
        this->merge(std::move(record));
    this->mergedEnd = std::max(this->mergedEnd, end);
}

std::vector<KeyedRecord> TopicCache::recordsFrom(std::uint64_t offset) const
{
    std::vector<KeyedRecord> newer;
    for (const auto& [key, record] : this->records) {
        if (record.offset >= offset)
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
