#pragma once

#include "resultcode.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Foundation {

class MetricRegistry {
public:
    MetricRegistry();
    ~MetricRegistry();
    MetricRegistry(const MetricRegistry&) = delete;
    MetricRegistry& operator=(const MetricRegistry&) = delete;

    /**
     * Returns a counter and creates it if necessary.
     * @param labels the labels without braces, such as reason="QueueFull"; may be empty.
     * @return the counter; valid for the lifetime of the registry.
     */
    std::atomic<std::uint64_t>& counter(std::string_view name, std::string_view labels = {});

    /** Sets a gauge. The labels are given without braces and may be empty. */
    void setGauge(std::string_view name, std::string_view labels, double value);

    /** Adds a sample to a distribution. The labels are given without braces and may be empty. */
    void observe(std::string_view name, std::string_view labels, double value);

    /** Increments the counter of refusals with this result code. */
    void countRefusal(ResultCode reason);

    /** Increments the counter of retries that this result code caused. */
    void countRetry(ResultCode reason);

    /** Returns all metrics in the Prometheus text format. */
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Foundation
