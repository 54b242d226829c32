#pragma once

#include <foundation/clock.h>

namespace Admission {

class TokenBucket {
public:
    /**
     * @param clock the time source; must outlive the bucket.
     * @param tokensPerSecond the refill rate.
     * @param capacity the maximum level in tokens; the bucket starts full.
     */
    TokenBucket(const Foundation::Clock& clock, double tokensPerSecond, double capacity);

    /**
     * Consumes tokens if enough are available and returns whether it did. A number above the capacity is granted from a
     * full bucket only and leaves a negative level.
     */
    bool tryConsume(double tokens);

    /** Returns the time until tryConsume(tokens) can succeed, provided that no other tokens are consumed before. */
    Foundation::Duration timeUntil(double tokens) const;

    /** Changes the refill rate and the capacity. Tokens above the new capacity are dropped. */
    void setRate(double tokensPerSecond, double capacity);

private:
    double levelAt(Foundation::TimePoint time) const;
    double requiredLevel(double tokens) const;

    const Foundation::Clock& clock;
    double rate;
    double capacity;
    double level;
    Foundation::TimePoint lastUpdate;
};

} // namespace Admission
