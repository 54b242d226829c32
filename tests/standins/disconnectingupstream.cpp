#include "disconnectingupstream.h"

#include "standinanswer.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <istream>
#include <utility>

struct DisconnectingUpstream::Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
        , timer(this->socket.get_executor())
    {
    }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    asio::streambuf received;
    std::string unsent;
    int requestCount = 0;
};

DisconnectingUpstream::DisconnectingUpstream(asio::io_context& context, std::string id)
    : id(std::move(id))
    , acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    this->accept();
}

std::string DisconnectingUpstream::entry(const std::string& service) const
{
    return makeUpstreamEntry({ service, this->acceptor.local_endpoint().port() });
}

void DisconnectingUpstream::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket accepted) {
        if (error)
            return;
        ++this->connectionCount;
        this->readRequest(std::make_shared<Connection>(std::move(accepted)));
        this->accept();
    });
}

void DisconnectingUpstream::readRequest(const std::shared_ptr<Connection>& connection)
{
    if (this->idleTimeout.count() > 0 && connection->requestCount > 0) {
        connection->timer.expires_after(this->idleTimeout);
        connection->timer.async_wait([connection](const asio::error_code& error) {
            if (!error)
                connection->socket.close();
        });
    }
    asio::async_read_until(connection->socket, connection->received, "\r\n\r\n",
        [this, connection](const asio::error_code& error, std::size_t) {
            connection->timer.cancel();
            if (error)
                return;
            std::istream stream(&connection->received);
            const RawRequest request = readRawRequest(stream);
            const std::size_t bodyBytes = request.bodyBytes();
            const std::size_t bufferedBytes = connection->received.size();
            asio::async_read(connection->socket, connection->received,
                asio::transfer_exactly(bodyBytes > bufferedBytes ? bodyBytes - bufferedBytes : 0),
                [this, connection, request](const asio::error_code& readError, std::size_t) {
                    if (readError)
                        return;
                    std::string body(request.bodyBytes(), ' ');
                    connection->received.sgetn(body.data(), static_cast<std::streamsize>(body.size()));
                    if (body.find("\"reserve\"") != std::string::npos)
                        this->lastReservedAt = std::chrono::steady_clock::now();
                    this->handle(connection, request);
                });
        });
}

void DisconnectingUpstream::handle(const std::shared_ptr<Connection>& connection, const RawRequest& request)
{
    const bool isUsed = connection->requestCount++ > 0;
    if (request.path == "/report" || request.path == "/order") {
        this->answer(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        return;
    }
    this->requests.push_back(request);
    if (this->losesAnswers) {
        // Waits for its caller to leave.
        this->readRequest(connection);
        return;
    }
    if (this->ending && (isUsed || !this->endsUsedOnly)) {
        this->end(connection, *this->ending);
        return;
    }
    connection->timer.expires_after(this->work);
    connection->timer.async_wait(
        [this, connection, request](const asio::error_code&) { this->answer(connection, this->makeAnswer(request)); });
}

void DisconnectingUpstream::answer(const std::shared_ptr<Connection>& connection, std::string answer)
{
    connection->unsent = std::move(answer);
    asio::async_write(connection->socket, asio::buffer(connection->unsent),
        [this, connection](const asio::error_code& error, std::size_t) {
            if (!error)
                this->readRequest(connection);
        });
}

void DisconnectingUpstream::end(const std::shared_ptr<Connection>& connection, const ConnectionEnding& how)
{
    connection->unsent = how.written;
    asio::async_write(
        connection->socket, asio::buffer(connection->unsent), [connection, how](const asio::error_code&, std::size_t) {
            connection->timer.expires_after(how.delay);
            connection->timer.async_wait([connection, how](const asio::error_code&) {
                if (how.isReset)
                    connection->socket.set_option(asio::socket_base::linger(true, 0));
                connection->socket.close();
            });
        });
}

std::string DisconnectingUpstream::makeAnswer(const RawRequest& request) const
{
    const std::string requestId = "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n";
    if (!this->pause.empty())
        return "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: " + this->pause + "\r\n" + requestId
            + "Content-Length: 0\r\n\r\n";
    std::string body = "answer of " + this->id;
    if (request.path.starts_with("/stream/")) {
        body.clear();
        for (int event = 1; event <= lastStandinEvent; ++event)
            body += makeEvent(event);
    }
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Signature: signed\r\n" + requestId
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
