#pragma once

#include "placementplanner.h"

#include <span>

namespace Placement {

/**
 * Prices the time for which the prefill of a prompt occupies an engine, in the unit of the request weights.
 *
 * Answers the load of demand that turns from long prompts to short ones within seconds. Prefill of long prompts that is
 * already dispatched cannot make room for a burst of short prompts, so the price rises as the engines become scarce.
 */
class OccupancyPrice {
public:
    /** The price while engines are plentiful. */
    OccupancyPrice() = default;

    /**
     * The price by the engines that are left.
     * @param backlogsMs the prefill backlog of each engine.
     */
    OccupancyPrice(std::span<const EngineCandidate> engines, std::span<const double> backlogsMs);

    /** Returns the cost of prefill on an engine that has a backlog. */
    double cost(double backlogMs, double prefillMs) const;

    /** Returns how scarce the engines are, from 0 to 1. */
    double scarcity() const { return this->engineScarcity; }

private:
    double engineScarcity = 0;
};

} // namespace Placement
