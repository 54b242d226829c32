#pragma once

#include "event.h"

#include <cstdint>
#include <string_view>

namespace Foundation {

/** What the log writes at most, and from which severity on. */
struct LogBound {
    Severity minimum = Severity::Info;
    /** Lines in a second; further ones are dropped and counted. */
    std::int64_t linesPerSecond = 1'000;
};

/**
 * Sets up the structured log of the process on standard output, one JSON object a line. A line that the reader of the
 * output is not ready for is dropped, so that writing never waits.
 * @param program the name written on each line.
 * @param instance the identifier of the instance, written on each line.
 * @param bound what is written.
 */
void startLogging(std::string_view program, std::string_view instance, LogBound bound);

/** Changes what is written from now on. */
void setLogBound(LogBound bound);

/**
 * Writes one event.
 * @param event the numbered event.
 * @param requestId the request it belongs to; empty if none.
 * @param detail further text.
 */
void logEvent(Event event, std::string_view requestId, std::string_view detail);

} // namespace Foundation
