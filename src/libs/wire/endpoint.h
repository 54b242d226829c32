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

/** Identifies a connection within its endpoint. 0 means no connection. */
using ConnectionId = std::uint64_t;

/** The callbacks of an endpoint. Calls for the same connection are in order and never concurrent. */
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
     * Starts to listen on a TCP port.
     * @param address the local IP address.
     * @return SettingsInvalid if the endpoint cannot listen on the port.
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
     * Starts to connect. Either onOpen or onClosed follows.
     * @param address the IP address and port of the server; host names are not resolved.
     * @return the identifier of the connection, or 0 if the address is invalid.
     */
    ConnectionId connect(std::string_view address);

    /** Sends messages as one frame; does nothing if the connection has ended. */
    void send(ConnectionId connection, std::span<const Message> messages);
    void send(ConnectionId connection, const Message& message) { this->send(connection, std::span(&message, 1)); }

    /** Sends a message on several connections. It is encoded only once. */
    void broadcast(std::span<const ConnectionId> connections, const Message& message);

    /** Closes a connection. */
    void close(ConnectionId connection);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace Wire
