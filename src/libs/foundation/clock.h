#pragma once

#include <chrono>

namespace Foundation {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

class Clock {
public:
    virtual ~Clock();

    /**
     * Reads the monotonic time.
     * @return the time since an arbitrary start; never decreases.
     */
    virtual TimePoint now() const = 0;
};

class SteadyClock final : public Clock {
public:
    TimePoint now() const override;
};

/** A clock that also runs while the machine is suspended. */
class BootClock final : public Clock {
public:
    TimePoint now() const override;
};

class ManualClock final : public Clock {
public:
    TimePoint now() const override;

    /**
     * Moves the clock forward.
     * @param step the time to add; must not be negative.
     */
    void advance(Duration step);

private:
    TimePoint current {};
};

/**
 * Converts a duration to whole milliseconds.
 * @param duration the duration to convert.
 * @return the duration in ms, rounded towards zero.
 */
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/**
 * Converts a duration to seconds.
 * @param duration the duration to convert.
 * @return the duration in s.
 */
inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

/**
 * Gives a pause that doubles with each further failure.
 * @param first the pause after the first failure.
 * @param longest the longest pause.
 * @param failures the failures in a row; at least 1.
 */
inline Duration doublingPause(Duration first, Duration longest, int failures)
{
    Duration pause = first;
    for (int i = 1; i < failures && pause < longest; ++i)
        pause *= 2;
    return pause < longest ? pause : longest;
}

/**
 * Converts seconds to a duration of the monotonic clock.
 * @param seconds the number of seconds.
 * @return the same span as a duration.
 */
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Foundation
