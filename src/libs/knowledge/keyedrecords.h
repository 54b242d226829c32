#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Knowledge {

/** The newest record of a key in a keyed topic of the store. */
struct KeyedRecord {
    std::string key;
    /** Absent if the key was dropped. */
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    bool operator==(const KeyedRecord&) const = default;
};

/**
 * The newest record of each key of one topic, merged from any number of sources. The order of the store's offsets
 * decides, so the sources may be merged in any order and an older record never replaces a newer one.
 */
class KeyedRecords {
public:
    /** Called for each key whose newest record changed. */
    using ChangeHandler = std::function<void(const KeyedRecord&)>;

    explicit KeyedRecords(ChangeHandler onChange);

    /**
     * Takes a record in.
     * @return whether it is newer than what was known of its key.
     */
    bool merge(KeyedRecord record);

    /**
     * Takes in the records of a read of the topic, and what that says of how far the topic is known.
     * @param run the records, from the known end on without a gap.
     * @param end the offset after the last of them.
     */
    void mergeRun(std::vector<KeyedRecord> run, std::uint64_t end);

    /**
     * Takes in a listing of the whole topic. Keys that it lacks were dropped.
     * @param listing the newest record of each key.
     * @param end the end of the topic when the listing began.
     */
    void mergeListing(std::vector<KeyedRecord> listing, std::uint64_t end);

    /** @return the offset up to which every record of the topic has been taken in. */
    std::uint64_t end() const { return this->knownEnd; }

    /** @return the newest records at or after an offset, dropped keys included. */
    std::vector<KeyedRecord> newerThan(std::uint64_t offset) const;

    /** @return the newest record of a key that has a value; null if there is none. */
    const KeyedRecord* find(std::string_view key) const;

    /** @return the newest record of each key, dropped ones included. */
    const std::map<std::string, KeyedRecord, std::less<>>& all() const { return this->records; }

private:
    ChangeHandler onChange;
    std::map<std::string, KeyedRecord, std::less<>> records;
    std::uint64_t knownEnd = 0;
};

} // namespace Knowledge
