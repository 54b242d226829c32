#include "pausingupstream.h"

#include "rawhttp.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <istream>
#include <memory>
#include <sstream>

namespace {

constexpr auto longestWaitForMoment = std::chrono::milliseconds(400);
// Connections without a new request are closed at this time after an answer, or at the end of a pause in which it has
// passed, also if a request has come meanwhile.
constexpr auto longestIdleTime = std::chrono::milliseconds(700);

std::string makeHead(const RawRequest& request)
{
    const bool isStream = request.path.starts_with("/stream");
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
        + "\r\nX-Response-Signature: signed\r\nContent-Type: " + (isStream ? "text/event-stream" : "text/plain")
        + "\r\n";
}

} // namespace

class PausingUpstream::Connection : public std::enable_shared_from_this<PausingUpstream::Connection> {
public:
    Connection(PausingUpstream& upstream, asio::ip::tcp::socket socket)
        : upstream(upstream)
        , socket(std::move(socket))
    {
    }

    void start()
    {
        this->upstream.onMoment(AnswerMoment::Accepting);
        this->continueAfterPause(this->timer, &Connection::readRequest);
    }

    void readRequest()
    {
        asio::async_read_until(this->socket, this->received, "\r\n\r\n",
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (!error)
                    self->continueAfterPause(self->timer, &Connection::onHead);
            });
    }

private:
    using Step = void (Connection::*)();

    void continueAfterPause(asio::steady_timer& waitTimer, Step next)
    {
        if (std::chrono::steady_clock::now() >= this->upstream.pauseEnd) {
            (this->*next)();
            return;
        }
        waitTimer.expires_at(this->upstream.pauseEnd);
        waitTimer.async_wait([self = this->shared_from_this(), &waitTimer, next](const asio::error_code& error) {
            if (!error)
                self->continueAfterPause(waitTimer, next);
        });
    }

    void readNextRequest()
    {
        this->isIdle = true;
        this->idleTimer.expires_after(longestIdleTime);
        this->idleTimer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (!error)
                self->continueAfterPause(self->idleTimer, &Connection::closeIfIdle);
        });
        this->readRequest();
    }

    void closeIfIdle()
    {
        asio::error_code ignored;
        if (this->isIdle)
            this->socket.close(ignored);
    }

    void onHead()
    {
        this->isIdle = false;
        this->idleTimer.cancel();
        std::istream stream(&this->received);
        this->request = readRawRequest(stream);
        this->upstream.onMoment(AnswerMoment::ReadingBody);
        this->continueAfterPause(this->timer, &Connection::readBody);
    }

    void readBody()
    {
        const std::size_t bodyBytes = this->request.bodyBytes();
        const std::size_t missing = bodyBytes - std::min(bodyBytes, this->received.size());
        asio::async_read(this->socket, this->received, asio::transfer_exactly(missing),
            [self = this->shared_from_this(), bodyBytes](const asio::error_code& error, std::size_t) {
                if (error)
                    return;
                self->received.consume(bodyBytes);
                self->answer();
            });
    }

    void answer()
    {
        this->parts.clear();
        this->nextPart = 0;
        if (this->upstream.planPause(this->request.path)) {
            this->answerAtOnce("204 No Content");
            return;
        }
        const auto timed = TimedAnswer::fromPath(this->request.path);
        if (!timed || this->request.header("X-Expect-Instance") != this->upstream.id) {
            this->answerAtOnce("421 Misdirected");
            return;
        }
        this->upstream.runLog.write("begin", this->request.header("X-Attempt-Id"));
        const std::string last = this->request.header("Last-Event-Id");
        this->closesConnection = timed->framing == AnswerFraming::None;
        this->parts = makeAnswerParts(*timed, last.empty() ? 1 : std::stoi(last) + 1, makeHead(this->request));
        this->waitForNextPart();
    }

    void answerAtOnce(const std::string& status)
    {
        const std::string length = status.starts_with("204") ? "" : "Content-Length: 0\r\n";
        this->closesConnection = false;
        this->parts.push_back({ {}, AnswerMoment::BeforeHead, "HTTP/1.1 " + status + "\r\n" + length + "\r\n" });
        this->sendPart();
    }

    void waitForNextPart()
    {
        this->timer.expires_after(this->parts[this->nextPart].delay);
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (error)
                return;
            self->upstream.onMoment(self->parts[self->nextPart].moment);
            self->continueAfterPause(self->timer, &Connection::sendPart);
        });
    }

    void sendPart()
    {
        asio::async_write(this->socket, asio::buffer(this->parts[this->nextPart].bytes),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (error)
                    return;
                if (++self->nextPart < self->parts.size())
                    self->waitForNextPart();
                else
                    self->end();
            });
    }

    void end()
    {
        if (this->parts.size() > 1)
            this->upstream.runLog.write("end", this->request.header("X-Attempt-Id"));
        if (!this->closesConnection) {
            this->readNextRequest();
            return;
        }
        asio::error_code ignored;
        this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        // Closes the socket only after the other side has, so that nothing that was sent is lost.
        asio::async_read(this->socket, this->received, asio::transfer_at_least(1),
            [self = this->shared_from_this()](const asio::error_code&, std::size_t) {});
    }

    PausingUpstream& upstream;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer { this->socket.get_executor() };
    asio::steady_timer idleTimer { this->socket.get_executor() };
    asio::streambuf received;
    RawRequest request;
    std::vector<AnswerPart> parts;
    std::size_t nextPart = 0;
    bool closesConnection = false;
    bool isIdle = false;
};

PausingUpstream::PausingUpstream(
    asio::io_context& context, std::string id, std::uint16_t port, const std::string& runLog)
    : id(std::move(id))
    , runLog(runLog, this->id)
    , acceptor(context, { asio::ip::make_address("127.0.0.1"), port })
    , acceptTimer(context)
    , pauseTimer(context)
{
}

void PausingUpstream::start() { this->accept(); }

std::string PausingUpstream::pausePath(AnswerMoment moment, std::chrono::milliseconds length)
{
    return "/pause/" + std::to_string(static_cast<int>(moment)) + "/" + std::to_string(length.count());
}

void PausingUpstream::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (error)
            return;
        asio::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        std::make_shared<Connection>(*this, std::move(socket))->start();
        this->acceptAfterPause();
    });
}

void PausingUpstream::acceptAfterPause()
{
    if (std::chrono::steady_clock::now() >= this->pauseEnd) {
        this->accept();
        return;
    }
    this->acceptTimer.expires_at(this->pauseEnd);
    this->acceptTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->acceptAfterPause();
    });
}

bool PausingUpstream::planPause(const std::string& path)
{
    constexpr std::string_view prefix = "/pause/";
    if (!path.starts_with(prefix))
        return false;
    std::istringstream stream(path.substr(prefix.size()));
    int moment = 0;
    char slash = 0;
    std::int64_t lengthMs = 0;
    stream >> moment >> slash >> lengthMs;
    this->plannedPause = { static_cast<AnswerMoment>(moment), std::chrono::milliseconds(lengthMs) };
    this->pauseTimer.expires_after(longestWaitForMoment);
    this->pauseTimer.async_wait([this](const asio::error_code& error) {
        if (!error && this->plannedPause)
            this->beginPause();
    });
    return true;
}

void PausingUpstream::onMoment(AnswerMoment moment)
{
    if (this->plannedPause && this->plannedPause->moment == moment)
        this->beginPause();
}

void PausingUpstream::beginPause()
{
    this->pauseTimer.cancel();
    this->pauseEnd = std::chrono::steady_clock::now() + this->plannedPause->length;
    this->runLog.write("pause", std::to_string(this->plannedPause->length.count()));
    this->plannedPause.reset();
}
