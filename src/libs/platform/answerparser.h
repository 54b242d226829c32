#pragma once

#include "httptransfers.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

/**
 * Parses the answer to one call as strictly as RFC 9112 defines it, from the bytes as they were received. An answer
 * that breaks the grammar has no body that can be told for sure, so it is no answer. Does not use a network.
 */
class AnswerParser {
public:
    /** @param method the method of the call; the answer to HEAD has no body. */
    explicit AnswerParser(std::string_view method);
    ~AnswerParser();
    AnswerParser(const AnswerParser&) = delete;
    AnswerParser& operator=(const AnswerParser&) = delete;

    /**
     * Parses one line of a head. Interim answers (1xx) are parsed and dropped.
     * @param line the line with its line end.
     * @return false if the answer has a defect.
     */
    bool parseHeadLine(std::string_view line);

    /**
     * Parses bytes that follow the head.
     * @param bytes the bytes with the framing of chunks, if the body has any.
     * @param content the bytes of the body among them are appended to it.
     * @return false if the answer has a defect.
     */
    bool parseBody(std::string_view bytes, std::string& content);

    /** Handles that nothing follows. @return false if the answer is not complete. */
    bool finish();

    /** Returns whether the head of the final answer was parsed. */
    bool isHeadComplete() const;

    /** Returns the number of bytes of all heads, the interim ones included. */
    std::size_t headBytes() const { return this->receivedHeadBytes; }

    /** Returns the fields of the final answer's head. */
    const std::vector<HttpField>& fields() const;

    /** Returns how the final answer says where its body ends. */
    BodyFraming framing() const;

    /** Returns whether bytes followed the end of the answer; they belong to no call. */
    bool hasExcess() const { return this->hasExcessBytes; }

    /** Returns why the answer cannot be used; empty if it can. Stays valid as long as the process runs. */
    std::string_view defect() const { return this->foundDefect; }

private:
    struct Parser;

    bool fail(std::string_view reason);
    /** Parses a head that was received completely. */
    bool finishHead();

    bool isAnswerToHead;
    std::unique_ptr<Parser> parser;
    /** The lines of a head that is not complete. */
    std::string head;
    std::size_t receivedHeadBytes = 0;
    std::size_t receivedLines = 0;
    /** The beginning of the framing of a chunk that is not complete. */
    std::string partialFraming;
    std::size_t framingBytes = 0;
    std::size_t contentBytes = 0;
    bool hasExcessBytes = false;
    std::string_view foundDefect;
};

} // namespace Platform
