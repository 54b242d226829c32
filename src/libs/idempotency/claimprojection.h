#pragma once

#include "claimrecord.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Idempotency {

/** The time at which a record was appended, on the log's own clock. */
using LogTime = std::chrono::milliseconds;

/** The state of a claimed key. */
struct KeyState {
    Claim owner;
    LogTime claimedAt {};
    std::optional<StoredAnswer> answer;
};

class ClaimProjection {
public:
    /** @param window the time for which a key stays claimed, on the log's clock. */
    explicit ClaimProjection(std::chrono::milliseconds window);

    /** Changes the window; this takes effect when the next record is applied. */
    void setWindow(std::chrono::milliseconds window);

    /** Applies a record. Records must be applied in the order of the log without gaps; repeated ones are ignored. */
    void apply(std::uint64_t offset, LogTime time, std::string_view text);

    /**
     * Removes all keys, because records expired before they were read.
     * @param nextOffset the offset of the next record to apply.
     */
    void resetTo(std::uint64_t nextOffset);

    /** Returns the state of a key; nullptr if it is not claimed. */
    const KeyState* find(std::string_view key) const;

    /** Returns the offset of the next record to apply. */
    std::uint64_t nextOffset() const { return this->next; }

    std::size_t size() const { return this->keys.size(); }

private:
    struct ClaimedKey {
        LogTime claimedAt;
        std::string key;
    };

    void applyEntry(LogTime time, const Claim& claim);
    void applyEntry(LogTime time, const Release& release);
    void applyEntry(LogTime time, const StoredAnswer& answer);
    void expire(LogTime time);

    std::chrono::milliseconds window;
    std::uint64_t next = 0;
    std::map<std::string, KeyState, std::less<>> keys;
    /** The claimed keys, oldest claim first; may contain keys that were released since. */
    std::deque<ClaimedKey> expiryQueue;
};

} // namespace Idempotency
