#pragma once

#include <foundation/resultcode.h>
#include <web/httprequest.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace Entry {

/** An error that a caller receives in place of an upstream's answer. */
struct CallerError {
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
    Foundation::RunOutcome outcome = Foundation::RunOutcome::NotRun;
    /** When the caller should retry; 0 if it gets no such advice. */
    std::int64_t retryAfterMs = 0;
    /** Appended to the message that belongs to the code. */
    std::string detail;
};

/** Returns the JSON body for an error, in the format of the OpenAI API. */
std::string errorBody(const CallerError& error);

/**
 * Returns the HTTP reply for an error, with the outcome of the request. Has the headers Retry-After and Retry-After-Ms
 * if the error advises a retry.
 */
Web::HttpReply errorReply(const CallerError& error, std::string_view requestId);

} // namespace Entry
