#pragma once

#include "event.h"

#include <cstdint>
#include <string_view>

namespace Foundation {

/** Limits which events are logged and how many lines are written. */
struct LogLimits {
    Severity minimumSeverity = Severity::Info;
    /** The most lines in one second. Further lines are dropped and counted. */
    std::int64_t linesPerSecond = 1'000;
};

/**
 * Sets up the structured log of the process on standard output, with one JSON object per line. A line is dropped if the
 * output would block, so that logging never delays the process. Long request ids and details are shortened, with their
 * length, so that a line is written as a whole.
 * @param program the name of the program, written on each line.
 * @param instance the identifier of the instance, written on each line.
 */
void startLogging(std::string_view program, std::string_view instance, LogLimits limits);

/** Replaces the limits of the log. */
void setLogLimits(LogLimits limits);

/**
 * Logs an event if the limits allow it.
 * @param requestId the request that the event belongs to; empty if there is none.
 * @param detail free text or fields, such as "address=10.0.0.1:80 attempt=2".
 */
void logEvent(Event event, std::string_view requestId, std::string_view detail);

} // namespace Foundation
