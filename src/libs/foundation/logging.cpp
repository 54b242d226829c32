#include "logging.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace Foundation {

namespace {

struct LogState {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("bluebell");
    std::string program;
    std::string instance;
    std::mutex mutex;
    std::int64_t linesPerSecond = 0;
    /** The start of the second in which lines are counted. */
    std::chrono::steady_clock::time_point secondStart;
    std::int64_t lineCount = 0;
    std::int64_t droppedCount = 0;
};

std::unique_ptr<LogState>& logState()
{
    static std::unique_ptr<LogState> state;
    return state;
}

log4cplus::LogLevel toLevel(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Severity::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Severity::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

// A pipe takes a line of up to PIPE_BUF (4096) bytes without blocking when poll() says that it is ready. The layout
// adds the time.
constexpr std::size_t maximumTextBytes = 3'900;
constexpr std::size_t maximumRequestIdBytes = 256;
constexpr std::size_t maximumDetailBytes = 2'048;
// Escaping makes a text up to six times as long, which these still leave room for.
constexpr std::size_t maximumEscapedRequestIdBytes = 64;
constexpr std::size_t maximumEscapedDetailBytes = 256;

// Returns a text that tells its length if it had to be shortened.
std::string shortened(std::string_view text, std::size_t maximumBytes)
{
    if (text.size() <= maximumBytes)
        return std::string(text);
    return std::string(text.substr(0, maximumBytes)) + "... (" + std::to_string(text.size()) + " bytes)";
}

// Returns whether a line can be written to standard output without blocking.
bool isOutputReady()
{
    pollfd descriptor { STDOUT_FILENO, POLLOUT, 0 };
    return ::poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

// Decides whether a line is written. Returns the number of lines dropped before it, or nothing if this one is dropped.
std::optional<std::int64_t> admitLine(LogState& state)
{
    const std::lock_guard lock(state.mutex);
    const auto now = std::chrono::steady_clock::now();
    if (now - state.secondStart >= std::chrono::seconds(1)) {
        state.secondStart = now;
        state.lineCount = 0;
    }
    if (state.lineCount >= state.linesPerSecond || !isOutputReady()) {
        ++state.droppedCount;
        return std::nullopt;
    }
    ++state.lineCount;
    return std::exchange(state.droppedCount, 0);
}

std::string makeLine(
    const LogState& state, const EventEntry& entry, const std::string& requestId, const std::string& detail)
{
    const nlohmann::ordered_json line = {
        { "program", state.program },
        { "instance", state.instance },
        { "event", static_cast<int>(entry.event) },
        { "name", entry.name },
        { "request", requestId },
        { "detail", detail },
    };
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void writeLine(LogState& state, const EventEntry& entry, std::string_view requestId, std::string_view detail)
{
    std::string text
        = makeLine(state, entry, shortened(requestId, maximumRequestIdBytes), shortened(detail, maximumDetailBytes));
    if (text.size() > maximumTextBytes)
        text = makeLine(state, entry, shortened(requestId, maximumEscapedRequestIdBytes),
            shortened(detail, maximumEscapedDetailBytes));
    // The layout supplies the opening brace and the time.
    state.logger.forcedLog(toLevel(entry.severity), text.substr(1, text.size() - 2));
}

} // namespace

void startLogging(std::string_view program, std::string_view instance, LogLimits limits)
{
    auto state = std::make_unique<LogState>();
    state->program = program;
    state->instance = instance;
    constexpr bool toStandardError = false;
    constexpr bool flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(R"({"time":"%D{%Y-%m-%dT%H:%M:%S.%q}",%m}%n)"));
    state->logger.addAppender(appender);
    logState() = std::move(state);
    setLogLimits(limits);
}

void setLogLimits(LogLimits limits)
{
    LogState* const state = logState().get();
    if (!state)
        return;
    const std::lock_guard lock(state->mutex);
    state->logger.setLogLevel(toLevel(limits.minimumSeverity));
    state->linesPerSecond = limits.linesPerSecond;
}

void logEvent(Event event, std::string_view requestId, std::string_view detail)
{
    LogState* const state = logState().get();
    if (!state)
        return;
    const EventEntry& entry = eventEntry(event);
    const log4cplus::LogLevel level = toLevel(entry.severity);
    if (!state->logger.isEnabledFor(level))
        return;
    const auto droppedBefore = admitLine(*state);
    if (!droppedBefore)
        return;
    if (*droppedBefore > 0) {
        writeLine(*state, eventEntry(Event::LinesDropped), "", "lines=" + std::to_string(*droppedBefore));
        // There may have been room for that line alone.
        if (!isOutputReady()) {
            const std::lock_guard lock(state->mutex);
            ++state->droppedCount;
            return;
        }
    }
    writeLine(*state, entry, requestId, detail);
}

} // namespace Foundation
