#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <deque>

namespace Relay {

/** Counts events within a sliding time window. */
class SlidingWindowCounter {
public:
    explicit SlidingWindowCounter(Foundation::Duration window)
        : window(window)
    {
    }

    void add(Foundation::TimePoint now) { this->times.push_back(now); }

    /** Removes an event that was added with this time; ignores times without an event. */
    void remove(Foundation::TimePoint time);

    /** @return the number of events within the window that ends now. */
    std::size_t count(Foundation::TimePoint now);

private:
    Foundation::Duration window;
    std::deque<Foundation::TimePoint> times;
};

} // namespace Relay
