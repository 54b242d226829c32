#pragma once

#include "faultswitches.h"
#include "standinrole.h"

#include <chrono>
#include <cstdint>

namespace Standin {

/** Simulates the platform's store of model weights, which limits the rate of pulls. */
class WeightStore final : public StandinRole {
public:
    /** @param pullsPerSecond the maximum rate; further pulls are refused with status 429. */
    explicit WeightStore(std::int64_t pullsPerSecond);

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange) override;

private:
    std::int64_t pullsPerSecond;
    FaultSwitches faults;
    std::chrono::steady_clock::time_point rateWindowStart {};
    std::int64_t pullsInWindow = 0;
    std::int64_t acceptedPulls = 0;
    std::int64_t refusedPulls = 0;
};

} // namespace Standin
