#pragma once

#include "clientrefusal.h"
#include "receivelimits.h"
#include "receivememory.h"

#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Web {

/**
 * Reads one request after the other from the bytes of a connection, within limits. Each body is held once, without the
 * framing of its chunks. The load: heads, bodies and framing that are too long, never end or come in tiny pieces.
 */
class RequestReader {
public:
    enum class Outcome : std::uint8_t { Incomplete, Complete, Refused };
    enum class Phase : std::uint8_t { Idle, Head, Body };

    struct Result {
        Outcome outcome = Outcome::Incomplete;
        /** The number of bytes that belong to the request. */
        std::size_t consumed = 0;
        /** Why the request is refused; only set with Refused. */
        ClientRefusal refusal = ClientRefusal::MalformedRequest;
    };

    RequestReader();
    RequestReader(const RequestReader&) = delete;
    RequestReader& operator=(const RequestReader&) = delete;

    /**
     * Waits for the next request and drops what was read of the last one.
     * @param newShare accounts for the request.
     */
    void restart(const ReceiveLimits& newLimits, std::shared_ptr<ReceiveMemory::Share> newShare);

    /** Drops what was read. */
    void clear();

    /** Reads the next bytes of the connection. Must not be called again before restart() unless it is Incomplete. */
    Result read(std::string_view data);

    Phase phase() const;

    /** Returns the number of bytes of the body that were received. */
    std::size_t bodyBytes() const { return this->body.size(); }

    /** Returns the head of a complete request, without the fields that describe the framing of its body. */
    std::string takeHead() { return std::move(this->head); }

    /** Returns the body of a complete request. It keeps its share of the memory. */
    std::shared_ptr<const std::string> takeBody();

private:
    struct Callbacks;

    std::size_t skipEmptyLines(std::string_view data);
    bool refuse(ClientRefusal reason);
    bool appendTarget(std::string_view text);
    bool appendFieldName(std::string_view text);
    bool appendFieldValue(std::string_view text);
    bool countFieldBytes(std::size_t bytes);
    void finishField();
    bool finishHead();
    bool beginChunk();
    bool appendBody(std::string_view text);
    bool reserveBody(std::size_t bytes);
    bool isFramingTooLong() const { return this->framingBytes > this->framingLimit(); }
    std::size_t framingLimit() const;
    bool refuseFraming();

    ReceiveLimits limits;
    std::shared_ptr<ReceiveMemory::Share> share;
    http_parser parser {};
    std::string target;
    std::string fieldName;
    std::string fieldValue;
    /** The fields of the head, then the whole head. */
    std::string head;
    std::string body;
    std::size_t emptyLineBytes = 0;
    std::size_t headBytes = 0;
    std::size_t fieldBytes = 0;
    std::size_t fields = 0;
    /** The bytes since the last byte of the body that are not part of it. */
    std::size_t framingBytes = 0;
    /** The end of the last part of the input that is no framing. */
    const char* cursor = nullptr;
    bool hasBegun = false;
    bool isValueRead = false;
    bool isHeadComplete = false;
    bool isLastChunk = false;
    bool isComplete = false;
    bool isRefused = false;
    ClientRefusal reason = ClientRefusal::MalformedRequest;
};

} // namespace Web
