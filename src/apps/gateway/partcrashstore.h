#pragma once

#include "suspecttopicwriter.h"

#include <foundation/clock.h>
#include <quarantine/promptpartregistry.h>
#include <storecache/keyedrecord.h>

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Gateway {

/**
 * Keeps the crashes of prompt parts that occur in several of them in the store, so that they outlast all gateways. Each
 * process writes the crashes at which it lost attempts itself.
 */
class PartCrashStore {
public:
    /** All parameters must outlive this object. */
    PartCrashStore(SuspectTopicWriter& writer, const Foundation::Clock& clock, const Foundation::WallClock& wallClock,
        Quarantine::PromptPartRegistry& registry);

    /** Returns whether a record of the topic holds the crash of prompt parts. */
    static bool ownsKey(std::string_view key);

    /** Records that this process lost an attempt at a crash. */
    void onObserved(const std::string& crash);

    /** Merges a record of the store into the registry. */
    void onRecord(const StoreCache::KeyedRecord& record);

    /** Writes again what this process stored, after the store came back from an older copy. */
    void onNewEra();

    /** Queues what has changed; called at each tick of the process. */
    void tick();

private:
    /** Returns the values that the store should have from this process, by their keys. */
    std::map<std::string, std::string> wantedValues() const;
    std::string encode(const Quarantine::PartCrash& crash) const;

    SuspectTopicWriter& writer;
    const Foundation::Clock& clock;
    const Foundation::WallClock& wallClock;
    Quarantine::PromptPartRegistry& registry;
    /** The names of crashes at which this process lost attempts. */
    std::set<std::string, std::less<>> observed;
    /** What this process has stored or queued, by key. */
    std::map<std::string, std::string> storedValues;
    Foundation::TimePoint nextUpdate {};
};

} // namespace Gateway
