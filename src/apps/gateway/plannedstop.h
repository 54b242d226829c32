#pragma once

#include <foundation/clock.h>

#include <functional>
#include <optional>

namespace Gateway {

/**
 * The times of a planned stop, from the stop signal to the end of the process. Until then every request that was read
 * is answered: one that an upstream has, as long as its answer can come in time, and one that waits, before it is too
 * late.
 */
class PlannedStop {
public:
    /** Begins the stop. @param onDone ends the process. */
    void begin(Foundation::TimePoint now, Foundation::Duration grace, std::function<void()> onDone);

    bool hasBegun() const { return bool(this->onDone); }

    /** Returns whether a request that arrives now might not end before the process does. */
    bool isTooLateFor(Foundation::TimePoint arrival) const;

    /** Returns until when all requests must have ended, so that their answers are sent; none before the stop began. */
    std::optional<Foundation::TimePoint> answersDueAt() const;

    /**
     * Returns whether the process may end.
     * @param isIdle whether nothing is under way.
     * @param lastRequestEnd when the last request ended.
     */
    bool mayEnd(Foundation::TimePoint now, bool isIdle, Foundation::TimePoint lastRequestEnd) const;

    /** Ends the process. */
    void end() const { this->onDone(); }

private:
    std::function<void()> onDone;
    Foundation::TimePoint begunAt {};
    /** When the process ends at the latest. */
    Foundation::TimePoint endsAt {};
};

} // namespace Gateway
