#pragma once

#include "messages.h"

#include <functional>
#include <memory>
#include <string>

namespace Wire {

/** Whether chunks wait for acknowledgements, so that other messages can be sent between them. */
enum class Interleaving : std::uint8_t {
    On,
    Off,
};

class BodySender {
public:
    using SendChunk = std::function<void(BodyChunk)>;

    /**
     * @param attempt the attempt that the body belongs to.
     * @param interleaving whether to wait for acknowledgements; without them, all chunks are sent at once.
     */
    BodySender(std::string attempt, std::shared_ptr<const std::string> body, Interleaving interleaving);

    /**
     * Sends as many chunks as the window allows.
     * @param acknowledged the number of chunks that the agent has acknowledged.
     * @param send called with each chunk.
     */
    void advance(std::uint64_t acknowledged, const SendChunk& send);

private:
    bool isDone() const { return this->offset >= this->body->size(); }

    std::string attempt;
    std::shared_ptr<const std::string> body;
    Interleaving interleaving;
    std::uint64_t sentChunks = 0;
    std::size_t offset = 0;
};

} // namespace Wire
