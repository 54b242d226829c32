#include "permitissuer.h"

#include <algorithm>

namespace RateLimit {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// Gateways repeat their support every 1.2 s. A former supporter may use another issuer after that time, so the limit
// can be issued twice for as long.
constexpr Duration supportLifetime = std::chrono::milliseconds(1'500);
// An issuer with at least this part of the gateways issues the whole limit. The other issuers then have fewer than the
// rest, and all together issue less than one and a half times the limit, which upstreams tolerate.
constexpr double majorityFraction = 0.6;
// Requests that the limit has not admitted yet can be admitted together up to this number, and up to the limit for this
// time.
constexpr double minimumCapacity = 2;
constexpr Duration capacityTime = std::chrono::milliseconds(250);
// A caller is not told to come back later than this: by then, others may have given up.
constexpr Duration maximumRetryAfter = std::chrono::seconds(10);

} // namespace

PermitIssuer::PermitIssuer(const Foundation::Clock& clock)
    : clock(clock)
{
}

void PermitIssuer::recordSupport(std::string_view process)
{
    this->supporters.insert_or_assign(std::string(process), this->clock.now());
}

void PermitIssuer::withdrawSupport(std::string_view process)
{
    const auto found = this->supporters.find(process);
    if (found != this->supporters.end())
        this->supporters.erase(found);
}

double PermitIssuer::usableFraction()
{
    const TimePoint now = this->clock.now();
    std::erase_if(this->supporters, [now](const auto& supporter) { return now - supporter.second >= supportLifetime; });
    const double fraction = static_cast<double>(this->supporters.size())
        / static_cast<double>(std::max<std::size_t>(1, this->gatewayCount));
    return fraction >= majorityFraction ? 1 : fraction;
}

PermitDecision PermitIssuer::request(
    std::string_view upstreamGeneration, double requestsPerSecond, bool isCallerWaiting)
{
    const TimePoint now = this->clock.now();
    auto found = this->buckets.find(upstreamGeneration);
    if (found == this->buckets.end())
        found = this->buckets.emplace(std::string(upstreamGeneration), Bucket { .filledAt = now }).first;
    Bucket& bucket = found->second;
    const double rate = requestsPerSecond * this->usableFraction();
    bucket.capacity = std::max(minimumCapacity, requestsPerSecond * Foundation::toSeconds(capacityTime));
    bucket.tokens = std::min(bucket.capacity, bucket.tokens + rate * Foundation::toSeconds(now - bucket.filledAt));
    bucket.filledAt = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return { .isGranted = true };
    }
    const double untilRoomSeconds = rate > 0 ? (1 - bucket.tokens) / rate : Foundation::toSeconds(maximumRetryAfter);
    const Duration untilRoom = std::min(maximumRetryAfter, Foundation::fromSeconds(untilRoomSeconds));
    if (!isCallerWaiting)
        return { false, untilRoom, untilRoom };
    const Duration interval = std::min(maximumRetryAfter, Foundation::fromSeconds(rate > 0 ? 1 / rate : 0));
    bucket.promisedUntil = std::clamp(bucket.promisedUntil + interval, now + untilRoom, now + maximumRetryAfter);
    return { false, untilRoom, bucket.promisedUntil - now };
}

void PermitIssuer::giveBack(std::string_view upstreamGeneration)
{
    const auto found = this->buckets.find(upstreamGeneration);
    if (found != this->buckets.end())
        found->second.tokens = std::min(found->second.capacity, found->second.tokens + 1);
}

void PermitIssuer::remove(std::string_view upstreamGeneration)
{
    const auto found = this->buckets.find(upstreamGeneration);
    if (found != this->buckets.end())
        this->buckets.erase(found);
}

} // namespace RateLimit
