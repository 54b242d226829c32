#include "bodysender.h"

#include <algorithm>

namespace Wire {

/**
 * @class BodySender
 * Splits a body into chunks and limits the number of chunks in flight, so that a long body does not delay the messages
 * of other requests on the same connection.
 */
BodySender::BodySender(std::string attempt, std::shared_ptr<const std::string> body, Interleaving interleaving)
    : attempt(std::move(attempt))
    , body(std::move(body))
    , interleaving(interleaving)
{
}

void BodySender::advance(std::uint64_t acknowledged, const SendChunk& send)
{
    while (!this->isDone()) {
        const bool windowIsFull = this->sentChunks >= acknowledged + bodyWindowChunks;
        if (windowIsFull && this->interleaving == Interleaving::On)
            return;
        const std::size_t size = std::min(maximumChunkBytes, this->body->size() - this->offset);
        BodyChunk chunk { this->attempt, this->sentChunks, false, this->body->substr(this->offset, size) };
        this->offset += size;
        ++this->sentChunks;
        chunk.last = this->isDone();
        send(std::move(chunk));
    }
}

} // namespace Wire
