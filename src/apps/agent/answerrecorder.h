#pragma once

#include <platform/httptransfers.h>
#include <relay/eventscanner.h>
#include <routing/answerassembly.h>
#include <wire/messages.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Agent {

class AnswerRecorder {
public:
    using SendFunction = std::function<void(Wire::Message)>;

    /** Records the head of the answer. Only the first call has an effect; a resumed call brings the head again. */
    void setHead(const Platform::HttpAnswerHead& head);

    /** Appends bytes of the answer, split into chunks of at most Wire::maximumChunkBytes. */
    void add(std::string_view data);

    /** Sends the head and the chunks that were not sent yet; nothing before the head is recorded. */
    void sendPending(const std::string& attempt, const SendFunction& send);

    /**
     * Moves the send position back, for an entry that lost its connection before it received everything.
     * @param nextSequence the sequence number of the first chunk to send again.
     * @param hasHead whether the entry has received the head.
     */
    void rewind(std::uint64_t nextSequence, bool hasHead);

    /** Creates the message that ends the answer. */
    Wire::AnswerEnd makeEnd(const std::string& attempt) const;

    /** Returns the body received so far. */
    std::string body() const;

    /** Returns whether the answer would be broken off if it ended here although its upstream ended it in order. */
    bool isBrokenOff() const;

    std::uint64_t bytes() const { return this->assembly.bytes(); }
    bool hasHead() const { return this->status != 0; }
    int statusCode() const { return this->status; }
    const std::string& contentType() const { return this->answerContentType; }

private:
    int status = 0;
    std::string answerContentType;
    Platform::BodyFraming framing = Platform::BodyFraming::Length;
    Relay::EventScanner events;
    std::vector<std::string> chunks;
    Routing::AnswerAssembly assembly;
    std::uint64_t nextChunkToSend = 0;
    bool headSent = false;
};

/**
 * Finds the number of prompt tokens that the engine reports at the end of an answer.
 * @return the number; 0 if the engine reports none.
 */
std::int64_t reportedPromptTokens(std::string_view answer);

} // namespace Agent
