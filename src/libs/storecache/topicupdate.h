#pragma once

#include "keyedrecord.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace StoreCache {

/**
 * What a reader of a topic knows of it up to an offset, as it is passed from the store to a cache and between caches.
 *
 * A range contains the newest record of each key that was written or deleted from its first offset on. A listing
 * contains the newest value of each key, but not the deletions, which only show by the keys that it lacks. So a listing
 * must not be merged as a range: a receiver would take the deletions as read and keep the deleted keys.
 */
struct TopicUpdate {
    enum class Kind : std::uint8_t { Range, Listing };

    Kind kind = Kind::Range;
    std::vector<KeyedRecord> records;
    /** The first offset of a range; 0 for a listing. */
    std::uint64_t from = 0;
    /** The offset after the last record. A listing may also contain later records. */
    std::uint64_t end = 0;
    /** The era of the store in which the records were read. */
    std::uint64_t era = 0;

    static TopicUpdate range(
        std::uint64_t from, std::vector<KeyedRecord> records, std::uint64_t end, std::uint64_t era = 0)
    {
        return { Kind::Range, std::move(records), from, end, era };
    }

    /** @param end the end offset of the topic when the listing began. */
    static TopicUpdate listing(std::vector<KeyedRecord> records, std::uint64_t end, std::uint64_t era = 0)
    {
        return { Kind::Listing, std::move(records), 0, end, era };
    }

    bool isListing() const { return this->kind == Kind::Listing; }
};

} // namespace StoreCache
