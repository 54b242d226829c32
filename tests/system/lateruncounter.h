#pragma once

#include <foundation/clock.h>

#include <cstddef>
#include <optional>

namespace Proof {

/** The users' stability window: what happens within it after a disturbance or a crash does not count. */
constexpr Foundation::Duration stabilityWindow = std::chrono::seconds(3);

/** Counts the runs that begin later than the stability window after a number of crashes. */
class LateRunCounter {
public:
    explicit LateRunCounter(std::size_t crashLimit)
        : crashLimit(crashLimit)
    {
    }

    void addCrash(Foundation::TimePoint time)
    {
        ++this->crashCount;
        if (this->crashCount <= this->crashLimit)
            this->limitTime = time;
    }

    /** @return whether the run is late. */
    bool addRun(Foundation::TimePoint time, bool isGatewayInTouch)
    {
        const bool isLate = isGatewayInTouch && this->isLimitReached() && time > *this->limitTime + stabilityWindow;
        this->lateRunCount += isLate ? 1 : 0;
        return isLate;
    }

    std::size_t crashes() const { return this->crashCount; }
    std::size_t lateRuns() const { return this->lateRunCount; }
    bool isLimitReached() const { return this->crashCount >= this->crashLimit; }

    /** Returns when the limit was reached; the last crash if there were fewer, none if there was none. */
    std::optional<Foundation::TimePoint> limitReachedAt() const { return this->limitTime; }

private:
    std::size_t crashLimit;
    std::size_t crashCount = 0;
    std::size_t lateRunCount = 0;
    std::optional<Foundation::TimePoint> limitTime;
};

} // namespace Proof
