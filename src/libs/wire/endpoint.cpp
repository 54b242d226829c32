#include "endpoint.h"

#include "codec.h"

#include <asio.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <mutex>

namespace Wire {

namespace {

using Client = websocketpp::client<websocketpp::config::asio_client>;
using Server = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;

constexpr long handshakeTimeoutMs = 2'000;

// The connections of an endpoint by identifier and by handle.
class ConnectionTable {
public:
    ConnectionId add(const Handle& handle)
    {
        const std::lock_guard lock(this->mutex);
        const ConnectionId id = ++this->lastId;
        this->handles[id] = handle;
        this->ids[handle] = id;
        return id;
    }

    ConnectionId find(const Handle& handle) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->ids.find(handle);
        return found == this->ids.end() ? 0 : found->second;
    }

    Handle find(ConnectionId id) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->handles.find(id);
        return found == this->handles.end() ? Handle() : found->second;
    }

    ConnectionId remove(const Handle& handle)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->ids.find(handle);
        if (found == this->ids.end())
            return 0;
        const ConnectionId id = found->second;
        this->handles.erase(id);
        this->ids.erase(found);
        return id;
    }

    std::vector<Handle> all() const
    {
        const std::lock_guard lock(this->mutex);
        std::vector<Handle> list;
        for (const auto& [id, handle] : this->handles)
            list.push_back(handle);
        return list;
    }

private:
    mutable std::mutex mutex;
    ConnectionId lastId = 0;
    std::map<ConnectionId, Handle> handles;
    std::map<Handle, ConnectionId, std::owner_less<Handle>> ids;
};

// Host names are rejected, since they would need a DNS lookup.
bool isNumericAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    asio::error_code error;
    asio::ip::make_address(std::string(address.substr(0, colon)), error);
    const std::string_view port = address.substr(colon + 1);
    const bool isPort = !port.empty() && port.find_first_not_of("0123456789") == std::string_view::npos;
    return !error && isPort;
}

// The common part of the server and the client endpoint.
template <typename Endpoint> class EndpointState {
public:
    explicit EndpointState(EndpointHandlers handlers)
        : handlers(std::move(handlers))
    {
    }

    void prepare(asio::io_context& context)
    {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
        this->endpoint.init_asio(&context);
        this->endpoint.set_max_message_size(maximumMessageBytes);
        this->endpoint.set_open_handshake_timeout(handshakeTimeoutMs);
        this->endpoint.set_close_handshake_timeout(handshakeTimeoutMs);
        this->endpoint.set_tcp_post_init_handler([this](const Handle& handle) { this->disableNagle(handle); });
        this->endpoint.set_message_handler(
            [this](const Handle& handle, const auto& message) { this->onMessage(handle, message->get_payload()); });
        this->endpoint.set_close_handler([this](const Handle& handle) { this->onEnd(handle); });
        this->endpoint.set_fail_handler([this](const Handle& handle) { this->onEnd(handle); });
    }

    void send(ConnectionId connection, std::span<const Message> messages)
    {
        this->sendFrame(connection, encode(messages));
    }

    void sendFrame(ConnectionId connection, const std::string& frame)
    {
        const Handle handle = this->table.find(connection);
        websocketpp::lib::error_code error;
        const auto found = this->endpoint.get_con_from_hdl(handle, error);
        if (error || !found)
            return;
        // Errors are ignored, since onClosed is called for a connection that ends during the call.
        found->send(frame, websocketpp::frame::opcode::binary);
    }

    void close(ConnectionId connection) { this->closeHandle(this->table.find(connection)); }

    void closeHandle(const Handle& handle)
    {
        websocketpp::lib::error_code error;
        this->endpoint.close(handle, websocketpp::close::status::going_away, "", error);
    }

    Endpoint endpoint;
    ConnectionTable table;
    EndpointHandlers handlers;

private:
    void disableNagle(const Handle& handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = this->endpoint.get_con_from_hdl(handle, error);
        if (!error && connection)
            connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), error);
    }

    void onMessage(const Handle& handle, const std::string& payload)
    {
        const ConnectionId id = this->table.find(handle);
        Foundation::Result<std::vector<Message>> messages = decode(payload);
        if (id == 0)
            return;
        if (!messages) {
            const Message goodbye = Goodbye { Foundation::ResultCode::MalformedMessage };
            this->send(id, std::span(&goodbye, 1));
            this->closeHandle(handle);
            return;
        }
        for (Message& message : messages.value())
            this->handlers.onMessage(id, std::move(message));
    }

    void onEnd(const Handle& handle)
    {
        if (const ConnectionId id = this->table.remove(handle))
            this->handlers.onClosed(id);
    }
};

} // namespace

struct ServerEndpoint::State : EndpointState<Server> {
    using EndpointState<Server>::EndpointState;
};

struct ClientEndpoint::State : EndpointState<Client> {
    using EndpointState<Client>::EndpointState;
};

/**
 * @class ServerEndpoint
 * The server side of the protocol, in agents and gateways: WebSocket connections that transport CBOR messages.
 */
ServerEndpoint::ServerEndpoint(asio::io_context& context, EndpointHandlers handlers)
    : state(std::make_shared<State>(std::move(handlers)))
{
    State* const shared = this->state.get();
    shared->prepare(context);
    shared->endpoint.set_reuse_addr(true);
    shared->endpoint.set_open_handler(
        [shared](const Handle& handle) { shared->handlers.onOpen(shared->table.add(handle)); });
}

ServerEndpoint::~ServerEndpoint() = default;

Foundation::Result<void> ServerEndpoint::listen(std::string_view address, std::uint16_t port)
{
    websocketpp::lib::error_code error;
    this->state->endpoint.listen(std::string(address), std::to_string(port), error);
    if (!error)
        this->state->endpoint.start_accept(error);
    if (error)
        return Foundation::Error { Foundation::ResultCode::SettingsInvalid, error.message() };
    return boost::outcome_v2::success();
}

void ServerEndpoint::send(ConnectionId connection, std::span<const Message> messages)
{
    this->state->send(connection, messages);
}

void ServerEndpoint::close(ConnectionId connection) { this->state->close(connection); }

void ServerEndpoint::stop()
{
    websocketpp::lib::error_code error;
    this->state->endpoint.stop_listening(error);
    for (const Handle& handle : this->state->table.all())
        this->state->closeHandle(handle);
}

/**
 * @class ClientEndpoint
 * The client side of the protocol, in entries and gateways.
 */
ClientEndpoint::ClientEndpoint(asio::io_context& context, EndpointHandlers handlers)
    : state(std::make_shared<State>(std::move(handlers)))
{
    State* const shared = this->state.get();
    shared->prepare(context);
    shared->endpoint.set_open_handler(
        [shared](const Handle& handle) { shared->handlers.onOpen(shared->table.find(handle)); });
}

ClientEndpoint::~ClientEndpoint() = default;

ConnectionId ClientEndpoint::connect(std::string_view address)
{
    if (!isNumericAddress(address))
        return 0;
    websocketpp::lib::error_code error;
    const auto connection = this->state->endpoint.get_connection("ws://" + std::string(address) + "/", error);
    if (error)
        return 0;
    const ConnectionId id = this->state->table.add(connection->get_handle());
    this->state->endpoint.connect(connection);
    return id;
}

void ClientEndpoint::send(ConnectionId connection, std::span<const Message> messages)
{
    this->state->send(connection, messages);
}

void ClientEndpoint::broadcast(std::span<const ConnectionId> connections, const Message& message)
{
    const std::string frame = encode(std::span(&message, 1));
    for (const ConnectionId connection : connections)
        this->state->sendFrame(connection, frame);
}

void ClientEndpoint::close(ConnectionId connection) { this->state->close(connection); }

} // namespace Wire
