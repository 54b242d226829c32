#pragma once

#include "messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace Wire {

/** Identifies a connection within its endpoint; 0 is none. */
using ConnectionId = std::uint64_t;

/** What an endpoint tells its owner. The calls of one connection come in order and never at once. */
struct EndpointHandlers {
    std::function<void(ConnectionId)> onOpen;
    std::function<void(ConnectionId, Message)> onMessage;
    std::function<void(ConnectionId)> onClosed;
};

class ServerEndpoint {
public:
    /**
     * @param context the context whose threads run the connections; must outlive the endpoint.
     * @param handlers called for each connection.
     */
    ServerEndpoint(asio::io_context& context, EndpointHandlers handlers);
    ~ServerEndpoint();

    /**
     * Starts to listen.
     * @param address the IP number to listen on.
     * @param port the TCP port.
     * @return nothing, or SettingsInvalid if the port cannot be used.
     */
    Foundation::Result<void> listen(std::string_view address, std::uint16_t port);

    /** Sends messages as one frame; does nothing if the connection has ended. */
    void send(ConnectionId connection, std::span<const Message> messages);
    void send(ConnectionId connection, const Message& message) { this->send(connection, std::span(&message, 1)); }

    /** Closes a connection. */
    void close(ConnectionId connection);

    /** Stops listening and closes all connections. */
    void stop();

private:
    struct State;
    std::shared_ptr<State> state;
};

class ClientEndpoint {
public:
    /**
     * @param context the context whose threads run the connections; must outlive the endpoint.
     * @param handlers called for each connection.
     */
    ClientEndpoint(asio::io_context& context, EndpointHandlers handlers);
    ~ClientEndpoint();

    /**
     * Begins to connect. Either onOpen or onClosed follows.
     * @param address the IP number and port of the agent.
     * @return the connection's identifier; 0 if the address is malformed.
     */
    ConnectionId connect(std::string_view address);

    /** Sends messages as one frame; does nothing if the connection has ended. */
    void send(ConnectionId connection, std::span<const Message> messages);
    void send(ConnectionId connection, const Message& message) { this->send(connection, std::span(&message, 1)); }

    /** Sends one message on many connections; it is encoded once. */
    void broadcast(std::span<const ConnectionId> connections, const Message& message);

    /** Closes a connection. */
    void close(ConnectionId connection);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace Wire
