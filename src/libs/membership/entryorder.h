#pragma once

#include "upstreamentry.h"

#include <foundation/clock.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/**
 * Decides whether an entry of the list of upstreams is newer than what is known. The store may execute a write seconds
 * after it was sent, when it has executed newer ones, so the order of the records is not that of the writes.
 *
 * Within a generation the sequence that the upstream writes decides. A generation that is not known is a restart,
 * unless its start is earlier and its sequence does not begin anew.
 *
 * The removal of an entry has no sequence. An entry after it, or one of a generation that has ended, may be late. It
 * counts when a later one follows before the listed generation writes again. The store removes an entry that no other
 * follows, so it also counts if it is still there after confirmationTime. Two late writes in their order, with nothing
 * between them, are not recognized.
 */
class EntryOrder {
public:
    enum class Verdict : std::uint8_t { Newest, Unconfirmed, Late };

    /** Longer than the three heartbeat intervals after which the store removes the entry of a silent upstream. */
    static constexpr Foundation::Duration confirmationTime = std::chrono::seconds(5);

    /** @param listed the entry that is listed under the same id; null if there is none. */
    Verdict check(const UpstreamEntry& entry, const UpstreamEntry* listed) const;

    /** Keeps an unconfirmed entry, unless one of its generation is kept. */
    void keepUnconfirmed(const UpstreamEntry& entry, Foundation::TimePoint now);

    /** Records that a generation has written, so it has not ended, and the unconfirmed entries were late. */
    void recordWritten(const UpstreamEntry& entry);

    /** Records the end of a generation. @param isExpected whether the upstream had said that it leaves. */
    void recordEnded(const UpstreamEntry& last, bool isExpected, Foundation::TimePoint now);

    /** Records that the entry of an ended generation was not removed but overwritten, so its next one counts. */
    void recordOverwritten(const std::string& generationId);

    /** Forgets the unconfirmed entries of an upstream, since its entry was removed or another one was written. */
    void dropUnconfirmed(std::string_view id);

    /** Removes and returns the unconfirmed entries that were not removed within confirmationTime. */
    std::vector<UpstreamEntry> takeConfirmed(Foundation::TimePoint now);

    /** @return whether a generation has ended recently. */
    bool hasEnded(std::string_view generationId) const { return this->endedGenerations.contains(generationId); }

    /** @return whether a generation has ended recently and had not said that it leaves. */
    bool hasEndedUnexpectedly(std::string_view generationId) const;

private:
    struct EndedGeneration {
        UpstreamEntry last;
        Foundation::TimePoint endedAt {};
        bool isExpected = false;
        bool isOverwritten = false;
    };

    struct UnconfirmedEntry {
        UpstreamEntry entry;
        Foundation::TimePoint since {};
    };

    /** @return the verdict on an entry that does not count on its own. */
    Verdict confirm(const UpstreamEntry& entry) const;
    /** @return the generation of an upstream that ended last; null if none did recently. */
    const EndedGeneration* lastEnded(std::string_view id) const;

    /** By generation; kept for the time by which a copy of the list may be older than what is known. */
    std::map<std::string, EndedGeneration, std::less<>> endedGenerations;
    /** By generation. */
    std::map<std::string, UnconfirmedEntry, std::less<>> unconfirmed;
};

} // namespace Membership
