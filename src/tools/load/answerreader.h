#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Load {

/** The content of a streamed answer or of an error body. */
struct StreamedAnswer {
    std::string text;
    /** Set if the stream ended with [DONE]. */
    bool isComplete = false;
    /** The numeric code of the error; 0 without an error. */
    int errorCode = 0;
    /** The outcome that the error states, such as may-have-run; empty without an error. */
    std::string outcome;
    /** The delay before a retry that the error asks for; 0 if it names none. */
    std::int64_t retryAfterMs = 0;
};

/**
 * Parses an answer of server-sent events.
 * @param data all bytes received so far.
 */
StreamedAnswer parseStreamedAnswer(std::string_view data);

/** Parses the JSON body of an error. Returns an answer with error code 0 if the body is not an error. */
StreamedAnswer parseErrorBody(std::string_view body);

} // namespace Load
