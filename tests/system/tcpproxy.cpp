#include "tcpproxy.h"

#include <array>

namespace Proof {

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;

asio::ip::tcp::endpoint loopback(int port)
{
    return { asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port) };
}

} // namespace

// A connection from a client and the connection to the target that belongs to it.
class TcpProxy::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(TcpProxy& proxy, asio::ip::tcp::socket incoming)
        : proxy(proxy)
        , sockets { asio::ip::tcp::socket(std::move(incoming)), asio::ip::tcp::socket(proxy.context) }
    {
    }

    void start()
    {
        this->sockets[1].async_connect(
            this->proxy.target, [self = this->shared_from_this()](const asio::error_code& error) {
                if (error) {
                    self->close();
                    return;
                }
                asio::error_code ignoredError;
                self->sockets[0].set_option(asio::ip::tcp::no_delay(true), ignoredError);
                self->sockets[1].set_option(asio::ip::tcp::no_delay(true), ignoredError);
                self->read(0);
                self->read(1);
            });
    }

    void close()
    {
        asio::error_code ignoredError;
        this->sockets[0].close(ignoredError);
        this->sockets[1].close(ignoredError);
        this->proxy.connections.erase(this->shared_from_this());
    }

    // Forwards the bytes that were read while the forwarding was paused.
    void resume()
    {
        for (std::size_t from = 0; from < this->sockets.size(); ++from) {
            if (this->pendingBytes[from] > 0)
                this->write(from);
        }
    }

private:
    void read(std::size_t from)
    {
        this->sockets[from].async_read_some(asio::buffer(this->buffers[from]),
            [self = this->shared_from_this(), from](const asio::error_code& error, std::size_t count) {
                if (error) {
                    self->close();
                    return;
                }
                self->pendingBytes[from] = count;
                if (!self->proxy.isPaused)
                    self->write(from);
            });
    }

    void write(std::size_t from)
    {
        const std::size_t count = this->pendingBytes[from];
        this->pendingBytes[from] = 0;
        asio::async_write(this->sockets[1 - from], asio::buffer(this->buffers[from], count),
            [self = this->shared_from_this(), from](const asio::error_code& error, std::size_t) {
                if (error)
                    self->close();
                else
                    self->read(from);
            });
    }

    TcpProxy& proxy;
    std::array<asio::ip::tcp::socket, 2> sockets;
    std::array<std::array<char, bufferBytes>, 2> buffers {};
    std::array<std::size_t, 2> pendingBytes {};
};

TcpProxy::TcpProxy(int listenPort, int targetPort)
    : acceptor(this->context, loopback(listenPort))
    , target(loopback(targetPort))
{
    this->accept();
    this->thread = std::thread([this] { this->context.run(); });
}

TcpProxy::~TcpProxy()
{
    this->context.stop();
    this->thread.join();
    this->connections.clear();
}

void TcpProxy::closeConnections()
{
    asio::post(this->context, [this] {
        // A copy, since close() removes the connection from the set.
        const auto openConnections = this->connections;
        for (const auto& connection : openConnections)
            connection->close();
    });
}

void TcpProxy::pause()
{
    asio::post(this->context, [this] { this->isPaused = true; });
}

void TcpProxy::resume()
{
    asio::post(this->context, [this] {
        this->isPaused = false;
        const auto openConnections = this->connections;
        for (const auto& connection : openConnections)
            connection->resume();
    });
}

void TcpProxy::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        this->connections.insert(connection);
        connection->start();
        this->accept();
    });
}

} // namespace Proof
