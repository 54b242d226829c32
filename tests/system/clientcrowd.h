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

/**
 * Clients that send the same bytes, each on a connection of its own, read nothing and stay open after the last byte.
 * All calls must come on the context's thread.
 */
class ClientCrowd {
public:
    /** Returns the piece with this number of what a client sends, or an empty string after the last piece. */
    using PieceSource = std::function<std::string(std::size_t)>;

    ClientCrowd(asio::io_context& context, std::uint16_t port, std::size_t clients, PieceSource source);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /** Returns the number of clients that have neither sent everything nor lost their connection. */
    std::size_t unfinishedClients() const;

    /** Returns the number of bytes that were sent by all clients; it stops growing when the server reads no more. */
    std::uint64_t sentBytes() const;

private:
    struct Client;

    std::vector<std::shared_ptr<Client>> clients;
};

} // namespace Proof
