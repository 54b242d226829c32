#include "answerreader.h"

#include <nlohmann/json.hpp>

namespace Load {

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view doneMarker = "[DONE]";

void parseEvent(std::string_view payload, StreamedAnswer& answer)
{
    if (payload == doneMarker) {
        answer.isComplete = true;
        return;
    }
    const auto value = nlohmann::json::parse(payload, nullptr, /* allow_exceptions */ false);
    if (!value.is_object())
        return;
    if (value.contains("error")) {
        const StreamedAnswer error = parseErrorBody(payload);
        answer.errorCode = error.errorCode;
        answer.outcome = error.outcome;
        return;
    }
    for (const nlohmann::json& choice : value.value("choices", nlohmann::json::array()))
        answer.text += choice.value("delta", nlohmann::json::object()).value("content", "");
}

} // namespace

StreamedAnswer parseStreamedAnswer(std::string_view data)
{
    StreamedAnswer answer;
    while (!data.empty()) {
        const std::string_view line = data.substr(0, data.find('\n'));
        data.remove_prefix(std::min(data.size(), line.size() + 1));
        if (line.starts_with(dataPrefix))
            parseEvent(line.substr(dataPrefix.size()), answer);
    }
    return answer;
}

StreamedAnswer parseErrorBody(std::string_view body)
{
    StreamedAnswer answer;
    const auto value = nlohmann::json::parse(body, nullptr, /* allow_exceptions */ false);
    if (!value.is_object() || !value.contains("error") || !value["error"].is_object())
        return answer;
    answer.errorCode = value["error"].value("code", 0);
    answer.outcome = value["error"].value("outcome", "");
    answer.retryAfterMs = value["error"].value("retry_after_ms", std::int64_t { 0 });
    return answer;
}

} // namespace Load
