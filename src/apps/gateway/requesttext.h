#pragma once

#include <foundation/clock.h>

#include <string>

namespace Gateway {

/** Returns a duration as the number of its whole milliseconds, for log lines. */
inline std::string millisecondsText(Foundation::Duration duration)
{
    return std::to_string(Foundation::toMilliseconds(duration));
}

/** The lowest status of an answer that is no success. */
constexpr int firstErrorStatus = 300;
/** The lowest status of an answer of an upstream that failed. */
constexpr int firstServerErrorStatus = 500;

} // namespace Gateway
