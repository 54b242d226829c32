#include "upstreamlimits.h"

#include <algorithm>

namespace RateLimit {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// An upstream that takes next to nothing still gets a request now and then, since only its answer tells that the limit
// has ended.
constexpr double minimumRequestsPerSecond = 0.1;
// Keeps the arithmetic within bounds.
constexpr double maximumRequestsPerSecond = 1e6;

} // namespace

bool UpstreamLimits::set(Record& record, std::optional<double> requestsPerSecond)
{
    if (requestsPerSecond)
        requestsPerSecond = std::clamp(*requestsPerSecond, minimumRequestsPerSecond, maximumRequestsPerSecond);
    if (record.requestsPerSecond == requestsPerSecond)
        return false;
    this->limitCount += requestsPerSecond ? 1 : 0;
    this->limitCount -= record.requestsPerSecond ? 1 : 0;
    record.requestsPerSecond = requestsPerSecond;
    return true;
}

bool UpstreamLimits::recordAnswer(
    std::string_view upstreamGeneration, std::optional<double> requestsPerSecond, TimePoint sentAt, TimePoint now)
{
    auto found = this->records.find(upstreamGeneration);
    if (!requestsPerSecond && (found == this->records.end() || sentAt <= found->second.saidAt))
        return false;
    if (found == this->records.end())
        found = this->records.emplace(std::string(upstreamGeneration), Record {}).first;
    found->second.saidAt = now;
    return this->set(found->second, requestsPerSecond);
}

bool UpstreamLimits::recordNotice(const LimitNotice& notice, TimePoint now)
{
    const TimePoint saidAt = now - std::max(Duration::zero(), notice.age);
    const auto [found, isNew] = this->records.try_emplace(notice.upstreamGeneration);
    if (!isNew && saidAt <= found->second.saidAt)
        return false;
    found->second.saidAt = saidAt;
    return this->set(found->second, notice.requestsPerSecond);
}

std::optional<double> UpstreamLimits::find(std::string_view upstreamGeneration) const
{
    if (this->limitCount == 0)
        return std::nullopt;
    const auto found = this->records.find(upstreamGeneration);
    return found == this->records.end() ? std::nullopt : found->second.requestsPerSecond;
}

LimitNotice UpstreamLimits::notice(std::string_view upstreamGeneration, TimePoint now) const
{
    const auto found = this->records.find(upstreamGeneration);
    if (found == this->records.end())
        return { std::string(upstreamGeneration), std::nullopt, {} };
    return { found->first, found->second.requestsPerSecond, now - found->second.saidAt };
}

std::vector<LimitNotice> UpstreamLimits::notices(TimePoint now) const
{
    std::vector<LimitNotice> all;
    for (const auto& [generation, record] : this->records) {
        if (record.requestsPerSecond)
            all.push_back({ generation, record.requestsPerSecond, now - record.saidAt });
    }
    return all;
}

void UpstreamLimits::remove(std::string_view upstreamGeneration)
{
    const auto found = this->records.find(upstreamGeneration);
    if (found == this->records.end())
        return;
    this->set(found->second, std::nullopt);
    this->records.erase(found);
}

} // namespace RateLimit
