#include "outbox.h"

#include <asio/post.hpp>

namespace Agent {

/**
 * @class Outbox
 * Batches the messages of one event-loop turn into one frame for each connection. Head, body and end of a short answer
 * are ready at once; separate frames would cost one system call and one wake-up each on both sides.
 */
Outbox::Outbox(asio::io_context& context, Wire::ServerEndpoint& endpoint)
    : context(context)
    , endpoint(endpoint)
{
}

void Outbox::send(Wire::ConnectionId connection, Wire::Message message)
{
    this->pending[connection].push_back(std::move(message));
    if (this->isScheduled)
        return;
    this->isScheduled = true;
    asio::post(this->context, [this] { this->flush(); });
}

void Outbox::flush()
{
    this->isScheduled = false;
    const auto frames = std::move(this->pending);
    this->pending.clear();
    for (const auto& [connection, messages] : frames)
        this->endpoint.send(connection, messages);
}

} // namespace Agent
