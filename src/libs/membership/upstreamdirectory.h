#pragma once

#include "entryorder.h"
#include "upstreamentry.h"

#include <foundation/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/** A listed upstream. */
struct Upstream {
    UpstreamEntry entry;
    /** The end of the upstream's cold start. */
    Foundation::TimePoint coldUntil {};
    /** Set while the entry is missing after an outage of the list: the time at which the upstream is removed. */
    std::optional<Foundation::TimePoint> missingUntil;
    /** Whether another upstream was found to answer at the address. */
    bool isMisaddressed = false;

    /** @return a unique name of this generation of the upstream. */
    const std::string& generationId() const { return this->generation; }

    /** Replaces the entry. */
    void setEntry(const UpstreamEntry& newest);

private:
    std::string generation;
};

/** Tracks the listed upstreams and which of them accept requests. Entries may expire during an outage of the list. */
class UpstreamDirectory {
public:
    /** What happened to an upstream: it was listed, was restarted, began to drain, went missing or was removed. */
    enum class Change : std::uint8_t { Added, Restarted, DrainStarted, Missing, Removed };
    /** Called for each change of these kinds. */
    using ChangeHandler = std::function<void(Change, const Upstream&)>;

    explicit UpstreamDirectory(ChangeHandler onChange = {});

    /**
     * Adds an upstream or replaces its entry, unless the entry is late (see EntryOrder). The order of the entries
     * decides which generation is the newest, since the time of day of an upstream's machine may be set back.
     * @return whether the entry was applied; if not, it may count when another one follows.
     */
    bool update(const UpstreamEntry& entry, Foundation::TimePoint now);

    /** Returns whether an entry was written before one that is known of its generation. */
    bool isLate(const UpstreamEntry& entry) const;

    /** Records a heartbeat that changes nothing but the sequence. */
    void recordHeartbeat(const UpstreamEntry& entry);

    /**
     * Returns whether an entry from an older copy of the list would undo what is known: its generation has ended, an
     * earlier one than the listed one, or was draining.
     */
    bool isSuperseded(const UpstreamEntry& entry) const;

    /**
     * Handles the removal of an upstream's entry. During a grace period an upstream that is not draining stays in use
     * until the period ends, since an entry that expired during an outage of the list is written again after it.
     */
    void remove(std::string_view id, Foundation::TimePoint now);

    /** Handles a record of another writer under an upstream's id, which hides its entry until its next heartbeat. */
    void removeOverwritten(std::string_view id, Foundation::TimePoint now);

    /** Starts a grace period after an outage of the list, or extends the current one up to the given time. */
    void extendGracePeriod(Foundation::TimePoint graceEnd);

    /** Ends the current grace period, since the list was available to others and the missing entries were removed. */
    void endGracePeriod(Foundation::TimePoint now);

    /** @return the end of the latest grace period. */
    Foundation::TimePoint graceEnd() const { return this->outageGraceEnd; }

    /**
     * Removes missing upstreams whose grace period is over, and adds those whose entry has been confirmed by time.
     * @return whether there were any.
     */
    bool expire(Foundation::TimePoint now);

    /** Marks an upstream at whose address another one answers, until it has a new generation or address. */
    void markMisaddressed(std::string_view id);

    /**
     * Marks a generation of an upstream that has said itself that it leaves. It gets no further requests, also if its
     * entry does not say so or comes back.
     * @return whether this was not known.
     */
    bool markLeaving(std::string_view generationId, Foundation::TimePoint now);

    /** Sets the evacuated failure domains, whose upstreams get no requests. */
    void setEvacuated(std::set<std::string, std::less<>> failureDomains);

    const std::set<std::string, std::less<>>& evacuated() const { return this->evacuatedDomains; }

    /** @return whether an upstream accepts new requests. */
    bool acceptsRequests(const Upstream& upstream) const;

    /** @return the upstreams of a service that accept new requests, ordered by id. */
    std::vector<const Upstream*> acceptingUpstreams(std::string_view service) const;

    /** @return the listed upstream with the id; null if there is none. */
    const Upstream* find(std::string_view id) const;

    /** @return the listed upstream at an address; null if there is none. */
    const Upstream* findByAddress(std::string_view address) const;

    /** @return whether a generation of an upstream is listed, or missing during an outage of the list. */
    bool isGenerationListed(std::string_view generationId) const;

    /** @return whether a generation ended recently and had not said that it leaves. */
    bool hasEndedUnexpectedly(std::string_view generationId) const
    {
        return this->order.hasEndedUnexpectedly(generationId);
    }

    std::size_t size() const { return this->upstreams.size(); }

private:
    void report(Change change, const Upstream& upstream) const;
    /** Returns whether the entry or the upstream itself says that it leaves. */
    bool isLeaving(const Upstream& upstream) const;
    void recordEnded(const Upstream& upstream, Foundation::TimePoint now);
    void add(const UpstreamEntry& entry, Foundation::TimePoint now);
    /** Completes an entry that does not say when the upstream was started, since it does not show a restart. */
    UpstreamEntry withStart(UpstreamEntry entry) const;
    EntryOrder::Verdict check(const UpstreamEntry& entry) const;

    ChangeHandler onChange;
    std::map<std::string, Upstream, std::less<>> upstreams;
    std::set<std::string, std::less<>> evacuatedDomains;
    EntryOrder order;
    /** The generations that have said themselves that they leave, and when. */
    std::map<std::string, Foundation::TimePoint, std::less<>> leavingGenerations;
    Foundation::TimePoint outageGraceEnd {};
};

} // namespace Membership
