#pragma once

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

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
     * Selects the load relay of a failure domain.
     * @return the name of the process, which may be this one; empty if no process of the domain is reachable.
     */
    std::string selectRelay(std::string_view failureDomain, Foundation::TimePoint now);

    /** @return the reachable processes by failure domain, including this process. */
    const std::map<std::string, std::map<std::string, LoadRelayCandidate, std::less<>>, std::less<>>&
    candidatesByDomain() const
    {
        return this->candidates;
    }

private:
    /** The latest candidate of a failure domain that was checked, and since when it has been queried for. */
    struct Selection {
        std::string process;
        Foundation::TimePoint since {};
        Foundation::TimePoint lastQueried {};
    };

    bool hasTimedOut(const LoadRelayCandidate& candidate, Foundation::TimePoint now);

    LoadRelayCandidate self;
    std::map<std::string, std::map<std::string, LoadRelayCandidate, std::less<>>, std::less<>> candidates;
    std::map<std::string, Selection, std::less<>> selections;
    std::map<std::string, Foundation::TimePoint, std::less<>> lastUpdate;
    std::map<std::string, Foundation::TimePoint, std::less<>> skippedUntil;
};

} // namespace Membership
