#pragma once

#include <foundation/clock.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace Placement {

/** Prompts that were dispatched, and the prefill time that they need on all their engines together. */
struct DispatchedWork {
    double requests = 0;
    double prefillSeconds = 0;
};

/** What all gateways dispatch, as far as one of them can tell. */
struct ArrivalEstimate {
    /** Dispatches per second by all gateways, and the prefill seconds that they add per second. */
    DispatchedWork perSecond;
    /** What other gateways are expected to have dispatched without this one knowing it. */
    DispatchedWork unreported;
    /** The age of what is known of the other gateways. */
    Foundation::Duration age {};
};

/**
 * Estimates the arrivals at all gateways over the last few hundred ms, from the dispatches of this process and from
 * those that load updates of the others show. Handles crowds: many callers that arrive within a second, while the load
 * updates of the gateways lag behind their decisions. The estimate for gateways without updates is that they dispatch
 * as much as the others; without updates from any, as much as this process.
 */
class ArrivalEstimator {
public:
    /** @param clock must outlive the estimator. */
    explicit ArrivalEstimator(const Foundation::Clock& clock);

    /** Sets how many gateways there are, this one included. */
    void setProcessCount(std::size_t count) { this->processCount = count; }

    /** Records a dispatch of this process. */
    void recordOwn(const DispatchedWork& work);

    /** Records a load update of another gateway. @param work what it shows as newly dispatched. */
    void recordPeer(std::string_view peer, const DispatchedWork& work);

    /** Handles that no more updates are expected from a gateway. */
    void dropPeer(std::string_view peer);

    ArrivalEstimate estimate() const;

private:
    /** A sum in which older work counts less. */
    struct DecayingSum {
        DispatchedWork work;
        Foundation::TimePoint updatedAt {};

        DispatchedWork at(Foundation::TimePoint now) const;
        void add(const DispatchedWork& added, Foundation::TimePoint now);
    };

    /** Counts the gateways with recent updates. */
    void countHeardPeers(Foundation::TimePoint now);

    const Foundation::Clock& clock;
    std::size_t processCount = 1;
    DecayingSum own;
    DecayingSum others;
    std::map<std::string, Foundation::TimePoint, std::less<>> lastUpdates;
    /** When the last update of any gateway came. */
    Foundation::TimePoint lastUpdate {};
    std::size_t heardPeers = 0;
    Foundation::TimePoint nextCount {};
};

} // namespace Placement
