#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Proof {

/** Returns the piece with this number of what a client sends, or an empty string after the last piece. */
using PieceSource = std::function<std::string(std::size_t)>;

/** What a client does with its connection after the last piece. */
enum class ConnectionEnd : std::uint8_t { StayOpen, Close, Reset };

/** What a client sends, and how it ends its connections. */
struct ClientBehaviour {
    PieceSource source;
    ConnectionEnd end = ConnectionEnd::StayOpen;
    /** The number of connections that the client opens one after the other, if it does not stay open. */
    std::size_t connections = 1;
};

/** Clients that read nothing. All calls must come on the context's thread. */
class ClientCrowd {
public:
    /** @param behaviours must not be empty; the clients follow them in turn. */
    ClientCrowd(asio::io_context& context, std::uint16_t port, std::size_t clients,
        const std::vector<ClientBehaviour>& behaviours);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /** Returns the number of clients that have neither sent everything nor lost their last connection. */
    std::size_t unfinishedClients() const;

    /** Returns the sum of the bytes sent and the connections opened; it stops growing when the server reads no more. */
    std::uint64_t progress() const;

private:
    struct Client;

    std::vector<std::shared_ptr<Client>> clients;
};

} // namespace Proof
