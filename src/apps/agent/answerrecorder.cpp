#include "answerrecorder.h"

#include <algorithm>
#include <charconv>

namespace Agent {

namespace {

constexpr std::string_view eventStreamType = "text/event-stream";

} // namespace

/**
 * @class AnswerRecorder
 * Stores the answer of one attempt, so that it can be sent again after the connection to the entry was lost.
 */
void AnswerRecorder::setHead(const Platform::HttpAnswerHead& head)
{
    if (this->status != 0)
        return;
    this->status = head.status;
    this->answerContentType = head.contentType;
    this->framing = head.framing;
}

bool AnswerRecorder::isBrokenOff() const
{
    if (!this->answerContentType.starts_with(eventStreamType))
        return false;
    // Nothing shows that a stream without events that ended with its connection was meant to be empty.
    const bool isEmpty = this->chunks.empty() && this->framing == Platform::BodyFraming::ConnectionClose;
    return isEmpty || this->events.isInsideEvent();
}

void AnswerRecorder::add(std::string_view data)
{
    for (std::string_view rest = data; !rest.empty();)
        rest.remove_prefix(std::min(rest.size(), this->events.findEnd(rest)));
    while (!data.empty()) {
        const std::string_view chunk = data.substr(0, Wire::maximumChunkBytes);
        this->assembly.accept(this->chunks.size(), chunk);
        this->chunks.emplace_back(chunk);
        data.remove_prefix(chunk.size());
    }
}

void AnswerRecorder::sendPending(const std::string& attempt, const SendFunction& send)
{
    if (!this->hasHead())
        return;
    if (!this->headSent) {
        this->headSent = true;
        send(Wire::AnswerHead { attempt, this->status, this->answerContentType });
    }
    for (; this->nextChunkToSend < this->chunks.size(); ++this->nextChunkToSend)
        send(Wire::AnswerChunk { attempt, this->nextChunkToSend, this->chunks[this->nextChunkToSend] });
}

void AnswerRecorder::rewind(std::uint64_t nextSequence, bool entryHasHead)
{
    this->nextChunkToSend = std::min<std::uint64_t>(nextSequence, this->chunks.size());
    this->headSent = entryHasHead;
}

Wire::AnswerEnd AnswerRecorder::makeEnd(const std::string& attempt) const
{
    Wire::AnswerEnd end;
    end.attempt = attempt;
    end.count = this->chunks.size();
    end.hash = this->assembly.hash();
    if (!this->chunks.empty())
        end.promptTokens = reportedPromptTokens(this->chunks.back());
    return end;
}

std::string AnswerRecorder::body() const
{
    std::string text;
    for (const std::string& chunk : this->chunks)
        text += chunk;
    return text;
}

std::int64_t reportedPromptTokens(std::string_view answer)
{
    constexpr std::string_view key = "\"prompt_tokens\":";
    const std::size_t at = answer.rfind(key);
    if (at == std::string_view::npos)
        return 0;
    std::string_view digits = answer.substr(at + key.size());
    while (digits.starts_with(' '))
        digits.remove_prefix(1);
    std::int64_t tokens = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), tokens);
    return tokens;
}

} // namespace Agent
