#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Standin {

/**
 * Returns the text of one generated token. It depends only on the prompt and the index, so a test can compute the
 * expected answer.
 * @param promptHash the hash of the request body.
 * @param index the index of the token, counted from 0.
 */
std::string tokenText(std::uint64_t promptHash, std::int64_t index);

/** Returns the complete text that the engine generates for a request body. */
std::string answerText(std::string_view body, std::int64_t tokens);

/** Returns the server-sent event of one token. */
std::string tokenEvent(const std::string& text);

/** Returns the last server-sent events of an answer: the token usage and [DONE]. */
std::string endEvents(std::int64_t promptTokens, std::int64_t tokens);

/** Returns the JSON body of an answer that is not streamed. */
std::string completionBody(std::string_view text, std::int64_t promptTokens, std::int64_t tokens);

} // namespace Standin
