#include "permitstock.h"

#include <algorithm>

namespace RateLimit {

PermitStock::PermitStock(const Foundation::Clock& clock)
    : clock(clock)
{
}

void PermitStock::add(std::string_view upstreamGeneration, Foundation::TimePoint expiresAt)
{
    this->permits.emplace(std::string(upstreamGeneration), expiresAt);
}

bool PermitStock::has(std::string_view upstreamGeneration) const
{
    const Foundation::TimePoint now = this->clock.now();
    const auto [first, last] = this->permits.equal_range(upstreamGeneration);
    return std::any_of(first, last, [now](const auto& permit) { return now < permit.second; });
}

bool PermitStock::tryTake(std::string_view upstreamGeneration)
{
    const Foundation::TimePoint now = this->clock.now();
    const auto [first, last] = this->permits.equal_range(upstreamGeneration);
    const auto found = std::find_if(first, last, [now](const auto& permit) { return now < permit.second; });
    if (found == last)
        return false;
    this->permits.erase(found);
    return true;
}

std::vector<std::string> PermitStock::takeExpired()
{
    const Foundation::TimePoint now = this->clock.now();
    std::vector<std::string> expired;
    std::erase_if(this->permits, [&](const auto& permit) {
        if (now < permit.second)
            return false;
        expired.push_back(permit.first);
        return true;
    });
    return expired;
}

} // namespace RateLimit
