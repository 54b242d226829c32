#include "clientcrowd.h"

#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Proof {

struct ClientCrowd::Client : std::enable_shared_from_this<Client> {
    Client(asio::io_context& context, std::uint16_t port, ClientBehaviour behaviour)
        : socket(context)
        , server(asio::ip::make_address("127.0.0.1"), port)
        , behaviour(std::move(behaviour))
    {
    }

    void connect()
    {
        this->nextPiece = 0;
        ++this->openedConnections;
        this->socket.async_connect(this->server, [self = this->shared_from_this()](const asio::error_code& error) {
            if (error)
                self->endConnection();
            else
                self->sendNext();
        });
    }

    void sendNext()
    {
        this->piece = this->behaviour.source(this->nextPiece++);
        if (this->piece.empty()) {
            this->endConnection();
            return;
        }
        asio::async_write(this->socket, asio::buffer(this->piece),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                self->sentBytes += bytes;
                if (error)
                    self->endConnection();
                else
                    self->sendNext();
            });
    }

    void endConnection()
    {
        this->isFinished
            = this->behaviour.end == ConnectionEnd::StayOpen || this->openedConnections >= this->behaviour.connections;
        if (this->behaviour.end == ConnectionEnd::StayOpen)
            return;
        asio::error_code ignored;
        // A close without lingering resets the connection.
        if (this->behaviour.end == ConnectionEnd::Reset)
            this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->socket.close(ignored);
        if (!this->isFinished)
            asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->connect(); });
    }

    asio::ip::tcp::socket socket;
    asio::ip::tcp::endpoint server;
    ClientBehaviour behaviour;
    std::string piece;
    std::size_t nextPiece = 0;
    std::size_t openedConnections = 0;
    std::uint64_t sentBytes = 0;
    bool isFinished = false;
};

ClientCrowd::ClientCrowd(
    asio::io_context& context, std::uint16_t port, std::size_t count, const std::vector<ClientBehaviour>& behaviours)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->clients.push_back(std::make_shared<Client>(context, port, behaviours[i % behaviours.size()]));
        this->clients.back()->connect();
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const auto& client : this->clients) {
        client->behaviour.connections = 0;
        asio::error_code ignored;
        client->socket.close(ignored);
    }
}

std::size_t ClientCrowd::unfinishedClients() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->clients, [](const auto& client) { return !client->isFinished; }));
}

std::uint64_t ClientCrowd::progress() const
{
    return std::accumulate(this->clients.begin(), this->clients.end(), std::uint64_t(0),
        [](std::uint64_t sum, const auto& client) { return sum + client->sentBytes + client->openedConnections; });
}

} // namespace Proof
