#include "timedanswer.h"

#include "rawhttp.h"
#include "standinanswer.h"

#include <sstream>

namespace {

// Between the parts of an event, and between the last event and the end of the answer.
constexpr std::chrono::milliseconds partInterval { 3 };

std::string framed(AnswerFraming framing, const std::string& data)
{
    return framing == AnswerFraming::Chunks ? makeChunk(data) : data;
}

std::string framingHeader(AnswerFraming framing, std::size_t bodyBytes)
{
    if (framing == AnswerFraming::Length)
        return "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    return framing == AnswerFraming::Chunks ? "Transfer-Encoding: chunked\r\n" : "";
}

} // namespace

std::string TimedAnswer::path() const
{
    return std::to_string(static_cast<int>(this->framing)) + "/" + std::to_string(this->firstEventDelay.count()) + "/"
        + std::to_string(this->eventInterval.count()) + "/" + std::to_string(this->events);
}

std::optional<TimedAnswer> TimedAnswer::fromPath(std::string_view path)
{
    std::istringstream stream { std::string(path) };
    std::string emptySegment;
    std::string route;
    std::getline(stream, emptySegment, '/');
    std::getline(stream, route, '/');
    int framing = 0;
    std::int64_t firstEventDelay = 0;
    std::int64_t eventInterval = 0;
    TimedAnswer answer;
    char slash = 0;
    if (!(stream >> framing >> slash >> firstEventDelay >> slash >> eventInterval >> slash >> answer.events))
        return std::nullopt;
    answer.framing = static_cast<AnswerFraming>(framing);
    answer.firstEventDelay = std::chrono::milliseconds(firstEventDelay);
    answer.eventInterval = std::chrono::milliseconds(eventInterval);
    return answer;
}

std::string TimedAnswer::body(int firstEvent) const
{
    std::string body;
    for (int event = firstEvent; event <= this->events; ++event)
        body += makeEvent(event);
    return body;
}

std::vector<AnswerPart> makeAnswerParts(const TimedAnswer& answer, int firstEvent, const std::string& head)
{
    const std::string framing = framingHeader(answer.framing, answer.body(firstEvent).size());
    std::vector<AnswerPart> parts;
    parts.push_back({ answer.firstEventDelay / 2, AnswerMoment::BeforeHead, head.substr(0, head.size() / 2) });
    parts.push_back({ partInterval, AnswerMoment::InsideHead, head.substr(head.size() / 2) + framing + "\r\n" });
    for (int event = firstEvent; event <= answer.events; ++event) {
        const std::string text = makeEvent(event);
        const bool isFirst = event == firstEvent;
        parts.push_back({ isFirst ? answer.firstEventDelay / 2 : answer.eventInterval,
            isFirst ? AnswerMoment::AfterHead : AnswerMoment::BetweenEvents,
            framed(answer.framing, text.substr(0, text.size() / 2)) });
        parts.push_back(
            { partInterval, AnswerMoment::InsideEvent, framed(answer.framing, text.substr(text.size() / 2)) });
    }
    AnswerPart end { partInterval, AnswerMoment::BeforeEnd,
        answer.framing == AnswerFraming::Chunks ? "0\r\n\r\n" : "" };
    if (answer.framing == AnswerFraming::Length) {
        // The last byte, without which the answer is not complete.
        end.bytes = parts.back().bytes.back();
        parts.back().bytes.pop_back();
    }
    parts.push_back(std::move(end));
    return parts;
}
