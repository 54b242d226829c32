#pragma once

#include <foundation/clock.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace RateLimit {

/** The permits that a process holds. Each allows one request to an upstream until it expires. */
class PermitStock {
public:
    /** @param clock runs also while the machine is suspended, so that no permit outlives its time. */
    explicit PermitStock(const Foundation::Clock& clock);

    void add(std::string_view upstreamGeneration, Foundation::TimePoint expiresAt);

    /** @return whether there is a permit for the upstream. */
    bool has(std::string_view upstreamGeneration) const;

    /** Uses a permit up. @return false if there is none. */
    bool tryTake(std::string_view upstreamGeneration);

    /** Removes the permits that have expired. @return the generation of each. */
    std::vector<std::string> takeExpired();

private:
    const Foundation::Clock& clock;
    /** The expiry times of the permits, by generation. */
    std::multimap<std::string, Foundation::TimePoint, std::less<>> permits;
};

} // namespace RateLimit
