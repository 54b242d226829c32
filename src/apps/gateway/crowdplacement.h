#pragma once

#include <foundation/featureswitch.h>

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <placement/arrivalestimator.h>
#include <placement/delaycorrection.h>
#include <placement/placementplanner.h>

#include <atomic>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Gateway {

/**
 * Supplies placement with what it needs in a crowd, that is, when many callers arrive at all gateways within a second.
 * Handles deployments with so many gateways that one request of each would overfill an engine.
 */
class CrowdPlacement {
public:
    /** @param clock, metrics must outlive this object. @param process the name of this process. */
    CrowdPlacement(const Foundation::Clock& clock, Foundation::MetricRegistry& metrics, std::string_view process);

    void setSwitch(Foundation::FeatureSwitch newSwitch) { this->featureSwitch = newSwitch; }

    /**
     * Sets how many gateways are known, this one included.
     * @param rank the position of this one among them, from 0.
     */
    void setProcesses(std::size_t count, std::size_t rank);

    /** Sets how many addresses of other gateways the settings name. */
    void setSeedCount(std::size_t count) { this->seedCount = count; }

    /** Handles that the list of the gateways has been read from the store. */
    void confirmMembership() { this->isMembershipListed = true; }

    /**
     * Returns whether the number of gateways is known: from the store, or because at least as many as there are seeds
     * have sent hellos and no others have followed for a while. A process without seeds has no others to wait for.
     */
    bool isMembershipKnown() const;

    /** Records a load update of another gateway. @param work what it shows as newly dispatched. */
    void recordPeer(std::string_view peer, const Placement::DispatchedWork& work);

    /** Handles that no more updates are expected from a gateway. */
    void dropPeer(std::string_view peer) { this->arrivals.dropPeer(peer); }

    /**
     * Returns what placement should expect of the other gateways; none if crowds are not regarded here.
     * @param slots the slots of an engine.
     */
    std::optional<Placement::CrowdExpectation> expectation(int slots);

    /**
     * Returns how much later than predicted the first event of a short prompt is expected at an upstream; zero if
     * crowds are not regarded here.
     * @param slots the slots of an engine.
     */
    Foundation::Duration delayCorrection(std::string_view upstreamGeneration, int slots) const;

    /**
     * Records the first event of a short prompt.
     * @param predicted the prediction without the correction.
     */
    void recordFirstEvent(
        std::string_view upstreamGeneration, Foundation::Duration predicted, Foundation::Duration measured);

    /** Records that a prompt is dispatched. */
    void recordDispatch(const Placement::PromptPlacement& placement);

    /** Logs the end of a crowd. */
    void tick();

    /** Sets the gauges. */
    void updateMetrics();

private:
    bool isActive(int slots) const;

    const Foundation::Clock& clock;
    Foundation::MetricRegistry& metrics;
    std::atomic<std::uint64_t>& placements;
    Placement::ArrivalEstimator arrivals;
    Placement::DelayCorrection delays;
    Foundation::FeatureSwitch featureSwitch = Foundation::FeatureSwitch::Automatic;
    std::size_t processCount = 1;
    std::size_t seedCount = 0;
    bool isMembershipListed = false;
    Foundation::TimePoint lastCountChange {};
    bool hasDrawn = false;
    /** The number that selects the next engine in a crowd. */
    double nextDraw = 0;
    bool isInCrowd = false;
    std::uint64_t placementsInCrowd = 0;
    Foundation::TimePoint crowdBegan {};
    Foundation::TimePoint lastCrowdPlacement {};
};

} // namespace Gateway
