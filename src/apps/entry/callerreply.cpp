#include "callerreply.h"

#include <nlohmann/json.hpp>

namespace Entry {

namespace {

constexpr std::int64_t msPerSecond = 1000;
constexpr int firstServerErrorStatus = 500;

} // namespace

std::string errorBody(const CallerError& error)
{
    const Foundation::ResultCodeEntry& entry = Foundation::resultCodeEntry(error.code);
    const std::string message
        = error.detail.empty() ? std::string(entry.meaning) : std::string(entry.meaning) + " " + error.detail;
    const nlohmann::json body = {
        { "error",
            {
                { "message", message },
                { "type", entry.httpStatus < firstServerErrorStatus ? "invalid_request_error" : "server_error" },
                { "code", static_cast<int>(error.code) },
                { "param", nullptr },
                { "outcome", Foundation::toString(error.outcome) },
                { "retry_after_ms", error.retryAfterMs },
            } },
    };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Web::HttpReply errorReply(const CallerError& error, std::string_view requestId)
{
    Web::HttpReply reply;
    reply.status = Foundation::resultCodeEntry(error.code).httpStatus;
    reply.body = errorBody(error);
    reply.headers.push_back({ "X-Request-Id", std::string(requestId) });
    reply.headers.push_back({ "X-Bluebell-Outcome", std::string(Foundation::toString(error.outcome)) });
    if (error.retryAfterMs > 0) {
        const std::int64_t seconds = (error.retryAfterMs + msPerSecond - 1) / msPerSecond;
        reply.headers.push_back({ "Retry-After", std::to_string(seconds) });
        reply.headers.push_back({ "Retry-After-Ms", std::to_string(error.retryAfterMs) });
    }
    return reply;
}

} // namespace Entry
