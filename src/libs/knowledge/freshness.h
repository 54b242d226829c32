#pragma once

#include <foundation/clock.h>

#include <optional>

namespace Knowledge {

/** How old the knowledge of what the operator wrote may be at most. */
class Freshness {
public:
    /** Notes that everything written before a moment is known. Earlier moments change nothing. */
    void noteKnownUntil(Foundation::TimePoint moment)
    {
        if (!this->knownUntil || moment > *this->knownUntil)
            this->knownUntil = moment;
    }

    /** @return the greatest age that the knowledge may have; none if nothing is known. */
    std::optional<Foundation::Duration> age(Foundation::TimePoint now) const
    {
        if (!this->knownUntil)
            return std::nullopt;
        return now - *this->knownUntil;
    }

private:
    std::optional<Foundation::TimePoint> knownUntil;
};

} // namespace Knowledge
