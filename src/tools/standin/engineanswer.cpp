#include "engineanswer.h"

#include <foundation/identifier.h>

#include <nlohmann/json.hpp>

namespace Standin {

namespace {

constexpr std::uint64_t vocabularySize = 100'000;

nlohmann::json usageJson(std::int64_t promptTokens, std::int64_t tokens)
{
    return { { "prompt_tokens", promptTokens }, { "completion_tokens", tokens },
        { "total_tokens", promptTokens + tokens } };
}

} // namespace

std::string tokenText(std::uint64_t promptHash, std::int64_t index)
{
    const std::uint64_t wordNumber = Foundation::hash64(std::to_string(index), promptHash) % vocabularySize;
    return " w" + std::to_string(wordNumber);
}

std::string answerText(std::string_view body, std::int64_t tokens)
{
    const std::uint64_t promptHash = Foundation::hash64(body);
    std::string text;
    for (std::int64_t i = 0; i < tokens; ++i)
        text += tokenText(promptHash, i);
    return text;
}

std::string tokenEvent(const std::string& text)
{
    return R"(data: {"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":")" + text
        + "\"}}]}\n\n";
}

std::string endEvents(std::int64_t promptTokens, std::int64_t tokens)
{
    const nlohmann::json last = { { "object", "chat.completion.chunk" }, { "choices", nlohmann::json::array() },
        { "usage", usageJson(promptTokens, tokens) } };
    return "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
}

std::string completionBody(std::string_view text, std::int64_t promptTokens, std::int64_t tokens)
{
    const nlohmann::json answer = {
        { "object", "chat.completion" },
        { "choices",
            { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } },
                { "finish_reason", "length" } } } },
        { "usage", usageJson(promptTokens, tokens) },
    };
    return answer.dump();
}

} // namespace Standin
