#pragma once

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

/** What an upstream says of itself. */
struct UpstreamEntry {
    std::string id;
    /** The start of this run, in ms of the Unix epoch; tells runs under one id apart. */
    std::int64_t born = 0;
    std::string service;
    /** IP number and port. */
    std::string address;
    std::string failureDomain;
    int slots = 1;
    bool isDraining = false;
    /** How much longer the upstream stays cold, from the time of the entry. */
    Foundation::Duration coldLeft {};
};

/** @return a number that differs between entries of one upstream that say different things. */
std::uint64_t digestOf(const UpstreamEntry& entry);

/** An upstream that is listed now. */
struct Upstream {
    UpstreamEntry entry;
    /** Until when the upstream is cold. */
    Foundation::TimePoint coldUntil {};
    /** Set while the entry is missing after an outage of the list and may come back. */
    std::optional<Foundation::TimePoint> missingUntil;
    /** The address was found to belong to another upstream. */
    bool isMisaddressed = false;

    /** @return a name of this run that no other run shares. */
    const std::string& runName() const { return this->run; }

    /** Takes an entry in. */
    void setEntry(const UpstreamEntry& newest);

private:
    std::string run;
};

/** Which upstreams take requests, from a list that may lapse while its keeper is away. */
class UpstreamDirectory {
public:
    enum class Change : std::uint8_t { Added, Restarted, Drained, Missing, Removed };
    /** Called at each change worth a log line. */
    using ChangeHandler = std::function<void(Change, const Upstream&)>;

    explicit UpstreamDirectory(ChangeHandler onChange = {});

    /** Takes the newest entry of an upstream in. */
    void update(const UpstreamEntry& entry, Foundation::TimePoint now);

    /**
     * Notes that the entry of an upstream is gone. While the list is recovering from an outage the upstream stays
     * in use until the end of the grace period, since entries that lapsed then come back.
     */
    void remove(std::string_view id, Foundation::TimePoint now);

    /** Notes an outage of the list, which ends the grace period at the given time. */
    void noteOutage(Foundation::TimePoint graceEnd);

    /** @return the end of the newest grace period. */
    Foundation::TimePoint graceEnd() const { return this->outageGraceEnd; }

    /** Removes upstreams that did not come back in time. */
    void expire(Foundation::TimePoint now);

    /** Notes that another upstream answers at the address of this one; lifted by a new run or address. */
    void noteMisaddressed(std::string_view id);

    /** Replaces the failure domains whose upstreams get nothing. */
    void setEvacuated(std::set<std::string, std::less<>> failureDomains);

    const std::set<std::string, std::less<>>& evacuated() const { return this->evacuatedDomains; }

    /** @return whether an upstream takes new requests. */
    bool takesRequests(const Upstream& upstream) const;

    /** @return the upstreams of a service that take new requests, in the order of their ids. */
    std::vector<const Upstream*> usable(std::string_view service) const;

    /** @return a listed upstream; null if there is none of that id. */
    const Upstream* find(std::string_view id) const;

    /** @return the listed upstream at an address; null if there is none. */
    const Upstream* findByAddress(std::string_view address) const;

    std::size_t size() const { return this->upstreams.size(); }

private:
    void report(Change change, const Upstream& upstream) const;

    ChangeHandler onChange;
    std::map<std::string, Upstream, std::less<>> upstreams;
    std::set<std::string, std::less<>> evacuatedDomains;
    Foundation::TimePoint outageGraceEnd {};
};

} // namespace Membership
