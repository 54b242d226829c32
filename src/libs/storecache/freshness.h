#pragma once

#include <foundation/clock.h>

#include <optional>

namespace StoreCache {

/** Tracks the maximum age of the cached operator records. */
class Freshness {
public:
    /** Records that the cache holds everything written before the given time. Earlier times have no effect. */
    void recordCurrentAsOf(Foundation::TimePoint time)
    {
        if (!this->currentAsOf || time > *this->currentAsOf)
            this->currentAsOf = time;
    }

    /** @return the maximum age of the cached records; none before the first recordCurrentAsOf(). */
    std::optional<Foundation::Duration> age(Foundation::TimePoint now) const
    {
        if (!this->currentAsOf)
            return std::nullopt;
        return now - *this->currentAsOf;
    }

private:
    std::optional<Foundation::TimePoint> currentAsOf;
};

} // namespace StoreCache
