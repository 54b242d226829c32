#include "repeatingupstream.h"

#include "standinanswer.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <istream>
#include <utility>

struct RepeatingUpstream::Connection {
    explicit Connection(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    asio::ip::tcp::socket socket;
    asio::streambuf received;
    std::string lastAnswer;
    std::string unsent;
};

RepeatingUpstream::RepeatingUpstream(asio::io_context& context, std::string id)
    : id(std::move(id))
    , acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    this->accept();
}

std::string RepeatingUpstream::entry(const std::string& service) const
{
    return makeUpstreamEntry({ service, this->acceptor.local_endpoint().port() });
}

void RepeatingUpstream::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket accepted) {
        if (error)
            return;
        this->readRequest(std::make_shared<Connection>(std::move(accepted)));
        this->accept();
    });
}

void RepeatingUpstream::readRequest(const std::shared_ptr<Connection>& connection)
{
    asio::async_read_until(connection->socket, connection->received, "\r\n\r\n",
        [this, connection](const asio::error_code& error, std::size_t) {
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
                    connection->received.consume(request.bodyBytes());
                    this->answer(connection, request);
                });
        });
}

void RepeatingUpstream::answer(const std::shared_ptr<Connection>& connection, const RawRequest& request)
{
    const std::string answer = this->makeAnswer(request);
    connection->unsent = (this->repeatsAnswers ? connection->lastAnswer : std::string()) + answer;
    connection->lastAnswer = answer;
    asio::async_write(connection->socket, asio::buffer(connection->unsent),
        [this, connection](const asio::error_code& error, std::size_t) {
            if (!error)
                this->readRequest(connection);
        });
}

std::string RepeatingUpstream::makeAnswer(const RawRequest& request)
{
    const std::string helpers = request.header("X-Helpers");
    const bool isBlamed = this->blamesHelpers && !helpers.empty();
    const std::string requestId = "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\n";
    if (this->rejects || isBlamed) {
        const std::string blame = "At-Server: " + helpers.substr(0, helpers.find(',')) + "\r\n";
        return "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + (isBlamed ? blame : std::string())
            + (this->namesRejectedRequest ? requestId : std::string()) + "Content-Length: 0\r\n\r\n";
    }
    ++this->runs;
    std::string body = "answer of " + this->id;
    if (request.path.starts_with("/stream/")) {
        body.clear();
        for (int event = 1; event <= lastStandinEvent; ++event)
            body += makeEvent(event);
    }
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Signature: signed\r\n" + requestId
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
