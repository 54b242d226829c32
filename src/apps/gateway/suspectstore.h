#pragma once

#include <foundation/clock.h>
#include <quarantine/suspectregistry.h>
#include <storecache/keyedrecord.h>

#include "suspecttopicwriter.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/**
 * Keeps the crash notices of repeated suspects in the store, so that they outlast all gateways. A request that was
 * running at one crash only is most likely a bystander and is not stored.
 */
class SuspectStore {
public:
    /** All parameters must outlive this object. */
    SuspectStore(SuspectTopicWriter& writer, const Foundation::Clock& clock, const Foundation::WallClock& wallClock,
        Quarantine::SuspectRegistry& suspects);

    /**
     * Stores all notices against a request if this process observed one of them and they are repeated. That includes
     * possible crashes: a request whose callers leave before they can see one may be sent again after all gateways have
     * been killed.
     */
    void onRecorded(std::string_view fingerprint, bool isObservedHere);

    /** Removes the stored notices against a request. */
    void remove(std::string_view fingerprint);

    /**
     * Removes the stored notices against a request that another gateway found to be harmless, if this process observed
     * one of them, as only such a process has stored them.
     */
    void removeObserved(std::string_view fingerprint);

    /** Merges a record of the store into the registry. */
    void onRecord(const StoreCache::KeyedRecord& record);

    /**
     * Writes again what this process stored or removed shortly before the store came back from an older copy.
     * @param delay the time after which it is sent, so that the gateways do not write all at once.
     */
    void onNewEra(Foundation::Duration delay);

private:
    /** When and in which era of the store a key was removed. */
    struct Removal {
        Foundation::TimePoint time {};
        std::uint64_t era = 0;
        /** In ms of the Unix epoch. */
        std::int64_t wallTimeMs = 0;
        /** Whether this process removed it. */
        bool isOwn = false;
    };

    std::string encode(const Quarantine::CrashNotice& notice) const;
    void recordRemoval(const std::string& key, bool isOwn);
    /** Returns whether a record was written before its key was removed, and removes it again if this process did. */
    bool isRemoved(const StoreCache::KeyedRecord& record, std::int64_t recordedMs);

    SuspectTopicWriter& writer;
    const Foundation::Clock& clock;
    const Foundation::WallClock& wallClock;
    Quarantine::SuspectRegistry& suspects;
    /** The fingerprints of requests of which this process observed a crash. */
    std::set<std::string, std::less<>> observed;
    /** The keys that the store has or will have, with the certainty that is stored. */
    std::map<std::string, Quarantine::CrashCertainty, std::less<>> storedKeys;
    /** Kept for the time by which a copy of the store may be older, or the store may execute a write late. */
    std::map<std::string, Removal, std::less<>> removedKeys;
    /** The era of the newest record. */
    std::uint64_t era = 0;
};

} // namespace Gateway
