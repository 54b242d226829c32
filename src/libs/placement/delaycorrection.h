#pragma once

#include <foundation/clock.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace Placement {

/**
 * Learns within tenths of a second how much later than predicted the first events of short prompts come, over all
 * engines and at each engine. Handles crowds, in which engines hold more than the model and the load updates show; the
 * slowdown factor of an upstream follows too slowly for them. Uses medians, so that single outliers do not count.
 */
class DelayCorrection {
public:
    /** @param clock must outlive this object. */
    explicit DelayCorrection(const Foundation::Clock& clock);

    /**
     * Records a first event.
     * @param predicted the prediction without a correction; otherwise the correction would cancel itself.
     */
    void record(std::string_view engine, Foundation::Duration predicted, Foundation::Duration measured);

    /** Returns how much later than predicted first events are expected over all engines; never negative. */
    Foundation::Duration fleetDelay() const;

    /** Returns the same for one engine; that of all engines if too little was measured there. Never negative. */
    Foundation::Duration delayAt(std::string_view engine) const;

private:
    struct Sample {
        Foundation::TimePoint at {};
        Foundation::Duration lateness {};
    };
    using Samples = std::deque<Sample>;

    /** The median of the recent samples, less the older the newest one is; zero if there are too few samples. */
    struct Estimate {
        Foundation::Duration median {};
        Foundation::TimePoint newestAt {};
        bool isKnown = false;
    };

    void add(Samples& samples, const Sample& sample, std::size_t limit);
    Estimate estimate(const Samples& samples) const;
    Foundation::Duration faded(const Estimate& estimate) const;
    void dropUnusedEngines();

    const Foundation::Clock& clock;
    Samples fleet;
    std::map<std::string, Samples, std::less<>> engines;
    /** The estimates change only with a sample or with time, so they are kept for many decisions. */
    mutable Estimate fleetEstimate;
    mutable Foundation::TimePoint fleetEstimatedAt {};
    mutable bool isFleetEstimated = false;
    Foundation::TimePoint nextCleanup {};
};

} // namespace Placement
