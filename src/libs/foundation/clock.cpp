#include "clock.h"

#include <ctime>

namespace Foundation {

/**
 * @class Clock
 * A source of monotonic time. Code that decides by time takes a clock as a parameter, so that tests can use a
 * ManualClock.
 */
Clock::~Clock() = default;

TimePoint SteadyClock::now() const { return std::chrono::steady_clock::now(); }

TimePoint BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallClock::~WallClock() = default;

std::chrono::system_clock::time_point SystemWallClock::now() const { return std::chrono::system_clock::now(); }

TimePoint ManualClock::now() const { return this->current; }

void ManualClock::advance(Duration step) { this->current += step; }

} // namespace Foundation
