#include "upstreamhealth.h"

#include <algorithm>

namespace Relay {

namespace {

using Foundation::Duration;

constexpr Duration minimumEjectionTime = std::chrono::milliseconds(400);
constexpr Duration maximumEjectionTime = std::chrono::seconds(4);
// The weight of the newest value in the moving averages of the failure rate and of the slowdown factor.
constexpr double newestWeight = 0.15;
// An upstream with a higher failure rate is ejected even though some of its requests succeed.
constexpr double maximumFailureRate = 0.35;
constexpr double maximumSlowdownFactor = 6;
// A draining engine stays for two to three seconds and does not help again in that time; nor does one that is gone. An
// engine that refused because it helps too many others is free again by then.
constexpr Duration helpRefusalTime = std::chrono::seconds(3);
// A partitioned process finds healthy upstreams unreachable, so reports of other processes apply no longer than this.
constexpr Duration maximumReportedEjection = std::chrono::milliseconds(1'500);

} // namespace

bool UpstreamHealth::recordObservation(
    std::string_view upstreamGeneration, Observation observation, Foundation::TimePoint now)
{
    Record& record = this->records[std::string(upstreamGeneration)];
    const bool isFailure = observation != Observation::Answered;
    record.failureRate += newestWeight * ((isFailure ? 1.0 : 0.0) - record.failureRate);
    if (!isFailure) {
        record.consecutiveFailures = 0;
        record.refusedAt.reset();
        return false;
    }
    if (observation == Observation::Refused)
        record.refusedAt = now;
    // Attempts that are in flight at the same time fail together, so their failures count once.
    if (now < record.ejectedUntil)
        return false;
    ++record.consecutiveFailures;
    if (observation == Observation::Failed && record.failureRate <= maximumFailureRate)
        return false;
    record.ejectedUntil
        = now + Foundation::exponentialBackoff(minimumEjectionTime, maximumEjectionTime, record.consecutiveFailures);
    return true;
}

void UpstreamHealth::recordDelay(std::string_view upstreamGeneration, Duration expected, Duration measured)
{
    if (expected <= Duration::zero())
        return;
    Record& record = this->records[std::string(upstreamGeneration)];
    const double factor
        = std::clamp(Foundation::toSeconds(measured) / Foundation::toSeconds(expected), 1.0, maximumSlowdownFactor);
    record.slowdownFactor += newestWeight * (factor - record.slowdownFactor);
}

Duration UpstreamHealth::recordHelpRefusal(std::string_view upstreamGeneration, Foundation::TimePoint now)
{
    this->records[std::string(upstreamGeneration)].helpRefusedUntil = now + helpRefusalTime;
    return helpRefusalTime;
}

void UpstreamHealth::applyPeerReport(
    std::string_view upstreamGeneration, Duration ejectionTime, bool isHelpRefusal, Foundation::TimePoint now)
{
    Record& record = this->records[std::string(upstreamGeneration)];
    if (isHelpRefusal)
        record.helpRefusedUntil = std::max(record.helpRefusedUntil, now + std::min(ejectionTime, helpRefusalTime));
    else
        record.ejectedUntil = std::max(record.ejectedUntil, now + std::min(ejectionTime, maximumReportedEjection));
}

bool UpstreamHealth::canHelp(std::string_view upstreamGeneration, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() || now >= found->second.helpRefusedUntil;
}

Duration UpstreamHealth::ejectionTimeLeft(std::string_view upstreamGeneration, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() ? Duration::zero()
                                        : std::max(Duration::zero(), found->second.ejectedUntil - now);
}

bool UpstreamHealth::isUsable(std::string_view upstreamGeneration, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() || now >= found->second.ejectedUntil;
}

void UpstreamHealth::recordPause(std::string_view upstreamGeneration, Duration pause, Foundation::TimePoint now)
{
    Record& record = this->records[std::string(upstreamGeneration)];
    record.pausedUntil = std::max(record.pausedUntil, now + pause);
}

Duration UpstreamHealth::pauseLeft(std::string_view upstreamGeneration, Foundation::TimePoint now) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() ? Duration::zero()
                                        : std::max(Duration::zero(), found->second.pausedUntil - now);
}

double UpstreamHealth::slowdownFactor(std::string_view upstreamGeneration) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() ? 1 : found->second.slowdownFactor;
}

void UpstreamHealth::recordRecovery(std::string_view upstreamGeneration, Foundation::TimePoint now)
{
    Record& record = this->records[std::string(upstreamGeneration)];
    record.consecutiveFailures = 0;
    record.ejectedUntil = std::min(record.ejectedUntil, now);
    record.refusedAt.reset();
    record.lastDataAt = now;
}

void UpstreamHealth::recordData(std::string_view upstreamGeneration, Foundation::TimePoint now)
{
    const auto found = this->records.find(upstreamGeneration);
    Record& record = found != this->records.end() ? found->second : this->records[std::string(upstreamGeneration)];
    record.lastDataAt = now;
}

std::optional<Foundation::TimePoint> UpstreamHealth::lastDataAt(std::string_view upstreamGeneration) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() ? std::nullopt : found->second.lastDataAt;
}

void UpstreamHealth::recordPeerRefusal(std::string_view upstreamGeneration, Foundation::TimePoint now)
{
    this->records[std::string(upstreamGeneration)].refusedAt = now;
}

bool UpstreamHealth::hasRefusedSince(std::string_view upstreamGeneration, Foundation::TimePoint time) const
{
    const auto found = this->records.find(upstreamGeneration);
    return found != this->records.end() && found->second.refusedAt && *found->second.refusedAt >= time;
}

void UpstreamHealth::remove(std::string_view upstreamGeneration)
{
    const auto found = this->records.find(upstreamGeneration);
    if (found != this->records.end())
        this->records.erase(found);
}

} // namespace Relay
