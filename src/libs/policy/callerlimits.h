#pragma once

#include <foundation/clock.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Policy {

/** What callers keep, as the operator's document names it. */
struct CallerLimits {
    std::optional<std::size_t> maximumHeaderBytes;
    std::optional<std::uint64_t> maximumBodyBytes;
    /** The longest time that a caller takes for the head of a request. */
    std::optional<Foundation::Duration> headerTimeout;
    /** Callers reuse connections that have been idle for up to four fifths of this. */
    std::optional<Foundation::Duration> idleTimeout;
};

} // namespace Policy
