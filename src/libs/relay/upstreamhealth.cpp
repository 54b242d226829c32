#include "upstreamhealth.h"

#include <algorithm>

namespace Relay {

namespace {

using Foundation::Duration;

constexpr Duration firstPause = std::chrono::milliseconds(400);
constexpr Duration longestPause = std::chrono::seconds(4);
// The weight of the newest attempt in the shares below.
constexpr double newestWeight = 0.15;
// An upstream that fails more than this part of its requests is left out, though some succeed.
constexpr double failureShareLimit = 0.35;
constexpr double slowestFactor = 6;
// An engine that drains or is gone does not help again in the time that a draining one stays, about two to three
// seconds; one that helps too many others is free again by then.
constexpr Duration cannotHelpPause = std::chrono::seconds(3);
// A process that is cut off finds sound upstreams unreachable, so it is believed for no longer than this.
constexpr Duration longestHearsay = std::chrono::milliseconds(1'500);

} // namespace

bool UpstreamHealth::note(std::string_view upstreamRun, Observation observation, Foundation::TimePoint now)
{
    Record& record = this->records[std::string(upstreamRun)];
    const bool isFailure = observation != Observation::Answered;
    record.failureShare += newestWeight * ((isFailure ? 1.0 : 0.0) - record.failureShare);
    if (!isFailure) {
        record.failuresInARow = 0;
        return false;
    }
    // Attempts that were under way together fail together; they count once.
    if (now < record.leftOutUntil)
        return false;
    ++record.failuresInARow;
    const bool isDown = observation == Observation::Unreachable || observation == Observation::Broken;
    if (!isDown && record.failureShare <= failureShareLimit)
        return false;
    record.leftOutUntil = now + Foundation::doublingPause(firstPause, longestPause, record.failuresInARow);
    return true;
}

void UpstreamHealth::noteDelay(std::string_view upstreamRun, Duration expected, Duration seen)
{
    if (expected <= Duration::zero())
        return;
    Record& record = this->records[std::string(upstreamRun)];
    const double factor = std::clamp(Foundation::toSeconds(seen) / Foundation::toSeconds(expected), 1.0, slowestFactor);
    record.slowness += newestWeight * (factor - record.slowness);
}

Duration UpstreamHealth::noteCannotHelp(std::string_view upstreamRun, Foundation::TimePoint now)
{
    this->records[std::string(upstreamRun)].cannotHelpUntil = now + cannotHelpPause;
    return cannotHelpPause;
}

void UpstreamHealth::noteHearsay(
    std::string_view upstreamRun, Duration pause, bool isHelpOnly, Foundation::TimePoint now)
{
    Record& record = this->records[std::string(upstreamRun)];
    if (isHelpOnly)
        record.cannotHelpUntil = std::max(record.cannotHelpUntil, now + std::min(pause, cannotHelpPause));
    else
        record.leftOutUntil = std::max(record.leftOutUntil, now + std::min(pause, longestHearsay));
}

bool UpstreamHealth::mayHelp(std::string_view upstreamRun, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamRun);
    return found == this->records.end() || now >= found->second.cannotHelpUntil;
}

Duration UpstreamHealth::pauseLeft(std::string_view upstreamRun, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamRun);
    return found == this->records.end() ? Duration::zero()
                                        : std::max(Duration::zero(), found->second.leftOutUntil - now);
}

bool UpstreamHealth::isUsable(std::string_view upstreamRun, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamRun);
    return found == this->records.end() || now >= found->second.leftOutUntil;
}

double UpstreamHealth::slowness(std::string_view upstreamRun) const
{
    const auto found = this->records.find(upstreamRun);
    return found == this->records.end() ? 1 : found->second.slowness;
}

void UpstreamHealth::forget(std::string_view upstreamRun)
{
    const auto found = this->records.find(upstreamRun);
    if (found != this->records.end())
        this->records.erase(found);
}

} // namespace Relay
