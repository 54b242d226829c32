#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <deque>

namespace Relay {

/** Counts what happened within the last span of time. */
class SlidingCount {
public:
    explicit SlidingCount(Foundation::Duration span)
        : span(span)
    {
    }

    void add(Foundation::TimePoint now) { this->times.push_back(now); }

    /** @return the number of additions within the span that ends now. */
    std::size_t count(Foundation::TimePoint now);

private:
    Foundation::Duration span;
    std::deque<Foundation::TimePoint> times;
};

} // namespace Relay
