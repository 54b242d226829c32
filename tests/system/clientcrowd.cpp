#include "clientcrowd.h"

#include <asio/write.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace Proof {

struct ClientCrowd::Client : std::enable_shared_from_this<Client> {
    Client(asio::io_context& context, PieceSource source)
        : socket(context)
        , source(std::move(source))
    {
    }

    void start(std::uint16_t port)
    {
        const asio::ip::tcp::endpoint server { asio::ip::make_address("127.0.0.1"), port };
        this->socket.async_connect(server, [self = this->shared_from_this()](const asio::error_code& error) {
            if (error)
                self->isFinished = true;
            else
                self->sendNext();
        });
    }

    void sendNext()
    {
        this->piece = this->source(this->nextPiece++);
        if (this->piece.empty()) {
            this->isFinished = true;
            return;
        }
        asio::async_write(this->socket, asio::buffer(this->piece),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t bytes) {
                self->sentBytes += bytes;
                if (error)
                    self->isFinished = true;
                else
                    self->sendNext();
            });
    }

    asio::ip::tcp::socket socket;
    PieceSource source;
    std::string piece;
    std::size_t nextPiece = 0;
    std::uint64_t sentBytes = 0;
    bool isFinished = false;
};

ClientCrowd::ClientCrowd(asio::io_context& context, std::uint16_t port, std::size_t count, PieceSource source)
{
    for (std::size_t i = 0; i < count; ++i) {
        this->clients.push_back(std::make_shared<Client>(context, source));
        this->clients.back()->start(port);
    }
}

ClientCrowd::~ClientCrowd()
{
    for (const auto& client : this->clients) {
        asio::error_code ignored;
        client->socket.close(ignored);
    }
}

std::size_t ClientCrowd::unfinishedClients() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->clients, [](const auto& client) { return !client->isFinished; }));
}

std::uint64_t ClientCrowd::sentBytes() const
{
    return std::accumulate(this->clients.begin(), this->clients.end(), std::uint64_t(0),
        [](std::uint64_t sum, const auto& client) { return sum + client->sentBytes; });
}

} // namespace Proof
