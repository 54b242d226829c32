#pragma once

#include "topicupdate.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace StoreCache {

/**
 * Caches the newest record of each key of one topic, merged from any number of sources. Records are ordered by era and
 * then by their offset in the store, so sources can be merged in any order and an older record never replaces a newer
 * one.
 *
 * Invariant for each key, once an update of the current era was merged. Let R be the newest record of the key in the
 * store that has an offset below end():
 * - If R has a value, the cache holds R or a later record.
 * - If R is a deletion, the cache holds no value but one that was written after R.
 * - If R is a deletion with an offset of at least historyStart(), the cache holds R or a later record.
 *
 * Deletions before historyStart() may be unknown, so what begins there is passed on as a listing. Records leave the
 * cache for others through updateFrom() only, and enter it through merge() only, which keeps the invariant.
 */
class TopicCache {
public:
    /** Called with the new record of each key whose newest record changed. */
    using ChangeHandler = std::function<void(const KeyedRecord&)>;

    explicit TopicCache(ChangeHandler onChange);

    /** Begins a later era, whose records have not been read yet: end() is 0. Ignores the current and earlier eras. */
    void beginEra(std::uint64_t newEra);

    std::uint64_t era() const { return this->currentEra; }

    /**
     * Merges what the store or another cache has told, and advances end(). Ignores an update of another era than era()
     * and a range that begins after end().
     *
     * A listing that ends after end() deletes cached keys that it lacks, unless their record was written after the
     * listing began.
     * @return whether end() is now at least the end of the update.
     */
    bool merge(TopicUpdate update);

    /** @return whether merge() would leave a gap before the update. */
    bool hasGapBefore(const TopicUpdate& update) const
    {
        return update.era == this->currentEra && !update.isListing() && update.from > this->mergedEnd;
    }

    /** @return the offset up to which all records of the topic have been merged. */
    std::uint64_t end() const { return this->mergedEnd; }

    /** @return the offset from which on all deletions are known. */
    std::uint64_t historyStart() const { return this->deletionsKnownFrom; }

    /**
     * @return what another cache lacks whose end is the given offset of the current era: a range from there, or a
     *         listing if deletions may be missing in the range.
     */
    TopicUpdate updateFrom(std::uint64_t offset) const;

    /**
     * The same for caches that have merged all updates of this process up to the offset.
     * @param changes what a range has to contain. Leaves out records that change nothing for the receivers.
     */
    TopicUpdate updateFrom(std::uint64_t offset, std::vector<KeyedRecord> changes) const;

    /** @return the newest record of a key; null if the key is unknown or deleted. */
    const KeyedRecord* find(std::string_view key) const;

    /** @return the newest record of each key, including deleted keys. */
    const std::map<std::string, KeyedRecord, std::less<>>& all() const { return this->records; }

private:
    void mergeRecord(KeyedRecord record);
    /** Removes the records whose keys may have been deleted since, although the cache lacks the deletion. */
    void removeUnmergeable(TopicUpdate& update) const;
    /** Deletes the keys that a newer listing lacks, and continues from its end. */
    void beginHistory(const std::set<std::string, std::less<>>& listedKeys, std::uint64_t end);
    std::vector<KeyedRecord> recordsFrom(std::uint64_t offset) const;
    /** @return a listing of the whole cache. */
    TopicUpdate listAll() const;

    ChangeHandler onChange;
    std::map<std::string, KeyedRecord, std::less<>> records;
    std::uint64_t currentEra = 0;
    std::uint64_t mergedEnd = 0;
    std::uint64_t deletionsKnownFrom = 0;
    /** Whether the cache has merged a listing of the current era. */
    bool isListed = false;
};

} // namespace StoreCache
