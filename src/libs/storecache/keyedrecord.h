#pragma once

#include <cstdint>
#include <optional>
#include <string>

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

} // namespace StoreCache
