#include "tokenbucket.h"

#include <algorithm>

namespace Admission {

/**
 * @class TokenBucket
 * Limits a rate and allows bursts of up to the capacity of the bucket.
 */
TokenBucket::TokenBucket(const Foundation::Clock& clock, double tokensPerSecond, double capacity)
    : clock(clock)
    , rate(tokensPerSecond)
    , capacity(capacity)
    , level(capacity)
    , lastUpdate(clock.now())
{
}

bool TokenBucket::tryConsume(double tokens)
{
    const Foundation::TimePoint now = this->clock.now();
    const double available = this->levelAt(now);
    if (available < this->requiredLevel(tokens))
        return false;
    this->level = available - tokens;
    this->lastUpdate = now;
    return true;
}

Foundation::Duration TokenBucket::timeUntil(double tokens) const
{
    const double missing = this->requiredLevel(tokens) - this->levelAt(this->clock.now());
    return missing <= 0 ? Foundation::Duration::zero() : Foundation::fromSeconds(missing / this->rate);
}

void TokenBucket::setRate(double tokensPerSecond, double newCapacity)
{
    const Foundation::TimePoint now = this->clock.now();
    this->level = std::min(this->levelAt(now), newCapacity);
    this->lastUpdate = now;
    this->rate = tokensPerSecond;
    this->capacity = newCapacity;
}

double TokenBucket::levelAt(Foundation::TimePoint time) const
{
    return std::min(this->capacity, this->level + this->rate * Foundation::toSeconds(time - this->lastUpdate));
}

double TokenBucket::requiredLevel(double tokens) const { return std::min(tokens, this->capacity); }

} // namespace Admission
