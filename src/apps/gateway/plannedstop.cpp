#include "plannedstop.h"

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// The load balancer checks readiness every second and removes a process after two failed checks.
constexpr Duration loadBalancerDelay = std::chrono::milliseconds(2'700);
// Requests that arrive later than this after the stop signal may not end before the process is killed.
constexpr Duration lateArrivalThreshold = std::chrono::milliseconds(2'900);
// The time in which the last answers are flushed from the sockets.
constexpr Duration finalFlushTime = std::chrono::milliseconds(250);
// The process stops this long before the platform kills it, also if answers are still in flight.
constexpr Duration killMargin = std::chrono::milliseconds(400);

} // namespace

void PlannedStop::begin(TimePoint now, Duration grace, std::function<void()> handler)
{
    this->begunAt = now;
    this->endsAt = now + std::max(Duration::zero(), grace - killMargin);
    this->onDone = std::move(handler);
}

bool PlannedStop::isTooLateFor(TimePoint arrival) const
{
    return this->hasBegun() && arrival - this->begunAt >= lateArrivalThreshold;
}

std::optional<TimePoint> PlannedStop::answersDueAt() const
{
    if (!this->hasBegun())
        return std::nullopt;
    return std::max(this->begunAt, this->endsAt - finalFlushTime);
}

bool PlannedStop::mayEnd(TimePoint now, bool isIdle, TimePoint lastRequestEnd) const
{
    if (!this->hasBegun())
        return false;
    return now >= this->endsAt
        || (isIdle && now - this->begunAt >= loadBalancerDelay && now - lastRequestEnd >= finalFlushTime);
}

} // namespace Gateway
