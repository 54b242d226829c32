#pragma once

#include <chrono>

namespace Foundation {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

class Clock {
public:
    virtual ~Clock();

    /** Returns the monotonic time, counted from an arbitrary origin. It never decreases. */
    virtual TimePoint now() const = 0;
};

/** The monotonic clock of the system. It stops while the machine is suspended. */
class SteadyClock final : public Clock {
public:
    TimePoint now() const override;
};

/** A monotonic clock that continues to run while the machine is suspended. */
class BootClock final : public Clock {
public:
    TimePoint now() const override;
};

/** The time of day. It differs between machines by seconds and may be set back, so it only orders what lasts long. */
class WallClock {
public:
    virtual ~WallClock();

    virtual std::chrono::system_clock::time_point now() const = 0;
};

/** The time of day of the system. */
class SystemWallClock final : public WallClock {
public:
    std::chrono::system_clock::time_point now() const override;
};

/** A clock for tests, which advance it explicitly. */
class ManualClock final : public Clock {
public:
    TimePoint now() const override;

    /** Moves the clock forward. The step must not be negative. */
    void advance(Duration step);

private:
    TimePoint current {};
};

/** Returns a duration in whole milliseconds, rounded towards zero. */
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/**
 * Returns the delay before the next attempt. It doubles with each consecutive failure.
 * @param initial the delay after the first failure.
 * @param maximum the upper limit of the delay.
 * @param consecutiveFailures must be at least 1.
 */
inline Duration exponentialBackoff(Duration initial, Duration maximum, int consecutiveFailures)
{
    Duration delay = initial;
    for (int i = 1; i < consecutiveFailures && delay < maximum; ++i)
        delay *= 2;
    return delay < maximum ? delay : maximum;
}

inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Foundation
