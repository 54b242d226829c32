#pragma once

#include <wire/endpoint.h>

#include <asio/io_context.hpp>

#include <map>
#include <vector>

namespace Agent {

class Outbox {
public:
    /**
     * @param context the context that runs the agent; must outlive the outbox.
     * @param endpoint the endpoint of the connections; must outlive the outbox.
     */
    Outbox(asio::io_context& context, Wire::ServerEndpoint& endpoint);

    /** Queues a message. All messages for a connection that are queued in one event-loop turn share a frame. */
    void send(Wire::ConnectionId connection, Wire::Message message);

    /** Sends all queued messages immediately. */
    void flush();

private:
    asio::io_context& context;
    Wire::ServerEndpoint& endpoint;
    std::map<Wire::ConnectionId, std::vector<Wire::Message>> pending;
    bool isScheduled = false;
};

} // namespace Agent
