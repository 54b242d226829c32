#pragma once

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Membership {

/** A process that can be the load relay of its failure domain. */
struct LoadRelayCandidate {
    std::string process;
    std::string failureDomain;
    /** The number of processor cores available to the process; may be a fraction. */
    double processorCores = 0;
};

/** @return whether one candidate ranks before another: by processor cores, then by name. */
bool isPreferred(const LoadRelayCandidate& candidate, const LoadRelayCandidate& other);

/**
 * Selects the load relay of each failure domain: the process that forwards load updates. Processes with the same
 * connections select the same relay. Nothing depends on that, since receivers discard the older of duplicate updates.
 * A relay that sends nothing for a while is skipped, even if its connection still looks open.
 */
class LoadRelaySelector {
public:
    explicit LoadRelaySelector(LoadRelayCandidate self);

    /** Adds a reachable process, or replaces its data. */
    void add(const LoadRelayCandidate& candidate);

    /** Removes a process that is no longer reachable. */
    void remove(std::string_view process);

    /** Records that an update was received from a process. */
    void recordUpdate(std::string_view process, Foundation::TimePoint now);

    /**
     * Selects the load relay of a failure domain, or of one of the groups into which a large fleet divides its domains.
     * @param group less than groupCount.
     * @return the name of the process, which may be this one; empty if no process of the domain is reachable.
     */
    std::string selectRelay(
        std::string_view failureDomain, Foundation::TimePoint now, std::size_t group = 0, std::size_t groupCount = 1);

    /** Returns how many reachable processes of this failure domain rank before this one. */
    std::size_t domainRank();

    /** @return the reachable processes by failure domain, including this process. */
    const std::map<std::string, std::map<std::string, LoadRelayCandidate, std::less<>>, std::less<>>&
    candidatesByDomain() const
    {
        return this->candidates;
    }

private:
    /** The latest candidate of a group that was checked, and since when it has been queried for. */
    struct Selection {
        std::string process;
        Foundation::TimePoint since {};
        Foundation::TimePoint lastQueried {};
    };

    bool hasTimedOut(const std::string& process, Selection& selection, Foundation::TimePoint now) const;
    /** Returns the processes of a failure domain, the preferred ones first. */
    const std::vector<std::string>& ranking(std::string_view failureDomain);

    LoadRelayCandidate self;
    std::map<std::string, std::map<std::string, LoadRelayCandidate, std::less<>>, std::less<>> candidates;
    /** The rankings since the last change of the candidates, by failure domain. */
    std::map<std::string, std::vector<std::string>, std::less<>> rankings;
    /** By failure domain and group. */
    std::map<std::pair<std::string, std::size_t>, Selection> selections;
    std::map<std::string, Foundation::TimePoint, std::less<>> lastUpdate;
    std::map<std::string, Foundation::TimePoint, std::less<>> skippedUntil;
};

} // namespace Membership
