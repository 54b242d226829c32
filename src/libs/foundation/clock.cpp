#include "clock.h"

#include <ctime>

namespace Foundation {

/**
 * @class Clock
 * The source of monotonic time. Decision code takes it as a parameter, so that tests can move time by hand.
 */
Clock::~Clock() = default;

TimePoint SteadyClock::now() const { return std::chrono::steady_clock::now(); }

TimePoint BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

TimePoint ManualClock::now() const { return this->current; }

void ManualClock::advance(Duration step) { this->current += step; }

} // namespace Foundation
