#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace StoreCache {

/** The newest record of a key in a keyed topic of the store. */
struct KeyedRecord {
    std::string key;
    /** Empty if the key was deleted. */
    std::optional<std::string> value;
    std::uint64_t offset = 0;
    /** Rises when the store comes back from an older copy and gives out offsets again; 0 if the store names none. */
    std::uint64_t era = 0;

    bool operator==(const KeyedRecord&) const = default;
};

/**
 * Caches the newest record of each key of one topic, merged from any number of sources. Records are ordered by era and
 * then by their offset in the store, so sources can be merged in any order and an older record never replaces a newer
 * one.
 */
class TopicCache {
public:
    /** Called with the new record of each key whose newest record changed. */
    using ChangeHandler = std::function<void(const KeyedRecord&)>;

    explicit TopicCache(ChangeHandler onChange);

    /**
     * Merges one record.
     * @return whether it replaced the cached record of its key.
     */
    bool merge(KeyedRecord record);

    /** Begins a later era, whose records have not been read yet: end() is 0. Ignores the current and earlier eras. */
    void beginEra(std::uint64_t newEra);

    std::uint64_t era() const { return this->currentEra; }

    /**
     * Merges a contiguous range of the topic and advances end().
     * @param range the records; must start at end() or before, without a gap.
     * @param end the offset after the range.
     * @param rangeEra the era in which the range was read; a range of another one than era() is ignored.
     */
    void mergeRange(std::vector<KeyedRecord> range, std::uint64_t end, std::uint64_t rangeEra = 0);

    /**
     * Merges a listing of the whole topic. Deletes cached keys that the listing lacks, unless their record was written
     * after the listing began.
     * @param listing the newest record of each key.
     * @param end the end offset of the topic when the listing began.
     * @param listingEra the era in which the listing was read; a listing of another one than era() is ignored.
     */
    void mergeListing(std::vector<KeyedRecord> listing, std::uint64_t end, std::uint64_t listingEra = 0);

    /** @return the offset up to which all records of the topic have been merged. */
    std::uint64_t end() const { return this->mergedEnd; }

    /**
     * @return the cached records of the current era with an offset of at least the given one, including deleted keys;
     *         those of all eras for offset 0.
     */
    std::vector<KeyedRecord> recordsFrom(std::uint64_t offset) const;

    /** @return the newest record of a key; null if the key is unknown or deleted. */
    const KeyedRecord* find(std::string_view key) const;

    /** @return the newest record of each key, including deleted keys. */
    const std::map<std::string, KeyedRecord, std::less<>>& all() const { return this->records; }

private:
    ChangeHandler onChange;
    std::map<std::string, KeyedRecord, std::less<>> records;
    std::uint64_t currentEra = 0;
    std::uint64_t mergedEnd = 0;
};

} // namespace StoreCache
