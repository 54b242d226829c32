#pragma once

#include <atomic>
#include <cstdint>

namespace Routing {

/**
 * Estimates token counts from byte counts for one model. Can be used by several threads; an update that is lost in a
 * race is harmless.
 */
class TokenEstimator {
public:
    /** @param bytesPerToken the ratio to use until an engine has reported usage. */
    explicit TokenEstimator(double bytesPerToken);

    /** @return the estimated length in tokens of a prompt with the given body size; at least 1. */
    std::int64_t estimate(std::uint64_t bytes) const;

    /**
     * Adjusts the ratio to the usage reported by the engine.
     * @param bytes the size of the request body.
     * @param tokens the reported number of prompt tokens; ignored if not positive.
     */
    void recordUsage(std::uint64_t bytes, std::int64_t tokens);

private:
    std::atomic<double> ratio;
    double initialRatio;
};

} // namespace Routing
