#include "connectionreader.h"

#include <asio/bind_executor.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace Web {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// A refused client that is still sending would lose the response if the connection were closed at once, since closing
// a socket with unread bytes resets the connection. What it sends is discarded for this long and up to this size.
constexpr Duration lingerTime = std::chrono::seconds(1);
constexpr std::size_t lingerBytes = 1 << 20;
// Bytes that wait in the socket when a deadline passes arrived in time, but the process was late to read them.
constexpr Duration lateReadTime = std::chrono::milliseconds(100);

} // namespace

ConnectionReader::ConnectionReader(asio::ip::tcp::socket& socket, const asio::any_io_executor& executor)
    : socket(&socket)
    , executor(executor)
    , timer(executor)
{
}

void ConnectionReader::attach(std::uint64_t connectionNumber, std::shared_ptr<ReceiveGuard> newGuard,
    std::shared_ptr<ConnectionReaders> newRegistry)
{
    this->connection = connectionNumber;
    this->guard = std::move(newGuard);
    this->registry = std::move(newRegistry);
    this->registry->add(connectionNumber, this->shared_from_this());
    this->idleSince = this->guard->clock.now();
    this->beginRequest();
    this->reportIdle();
}

void ConnectionReader::detach()
{
    this->socket = nullptr;
    this->timer.cancel();
    this->request.clear();
    std::string().swap(this->rest);
    if (this->registry)
        this->registry->remove(this->connection);
}

void ConnectionReader::beginRequest()
{
    this->limits = this->guard->currentLimits();
    // The request may have ended before the posted function runs.
    auto onEvicted = [weak = this->weak_from_this(), executor = this->executor, number = ++this->requestNumber] {
        asio::post(executor, [weak, number] {
            if (const auto self = weak.lock(); self && self->requestNumber == number)
                self->refuse(ClientRefusal::Evicted);
        });
    };
    this->request.restart(
        this->limits, std::make_shared<ReceiveMemory::Share>(this->guard->memory, std::move(onEvicted)));
    this->lastPhase = RequestReader::Phase::Idle;
    this->progressMark = 0;
}

void ConnectionReader::asyncRead(asio::mutable_buffer newBuffer, ReadHandler handler)
{
    this->buffer = newBuffer;
    if (this->handedOverBytes < this->head.size()) {
        this->handOver(std::move(handler));
        return;
    }
    std::string().swap(this->head);
    this->handedOverBytes = 0;
    const std::string data = std::exchange(this->rest, {});
    this->process(data, std::move(handler));
}

void ConnectionReader::readMore(ReadHandler handler)
{
    if (!this->socket) {
        this->complete(std::move(handler), asio::error::operation_aborted, 0);
        return;
    }
    this->socket->async_read_some(this->buffer,
        asio::bind_executor(this->executor,
            [self = this->shared_from_this(), handler = std::move(handler)](
                const asio::error_code& error, std::size_t bytes) { self->onRead(error, bytes, handler); }));
}

void ConnectionReader::onRead(const asio::error_code& error, std::size_t bytes, ReadHandler handler)
{
    if (!this->socket) {
        handler(asio::error::operation_aborted, 0);
        return;
    }
    if (this->isEnding) {
        // The server closes the connection after an error, but not after a read that it cancelled itself.
        if (error)
            handler(asio::error::eof, 0);
        else
            this->discard(bytes, std::move(handler));
        return;
    }
    if (error) {
        handler(error, 0);
        return;
    }
    this->process({ static_cast<const char*>(this->buffer.data()), bytes }, std::move(handler));
}

void ConnectionReader::process(std::string_view data, ReadHandler handler)
{
    if (this->isEnding) {
        this->discard(data.size(), std::move(handler));
        return;
    }
    const RequestReader::Result result = this->request.read(data);
    switch (result.outcome) {
    case RequestReader::Outcome::Incomplete:
        this->updateDeadline();
        this->readMore(std::move(handler));
        return;
    case RequestReader::Outcome::Refused:
        this->refuse(result.refusal);
        this->discard(data.size(), std::move(handler));
        return;
    case RequestReader::Outcome::Complete:
        break;
    }
    this->rest = std::string(data.substr(result.consumed));
    this->head = this->request.takeHead();
    {
        const std::lock_guard lock(this->bodyMutex);
        this->body = this->request.takeBody();
    }
    ++this->unanswered;
    this->deadline.reset();
    this->beginRequest();
    this->reportIdle();
    this->handOver(std::move(handler));
}

void ConnectionReader::handOver(ReadHandler handler)
{
    const std::string_view unread = std::string_view(this->head).substr(this->handedOverBytes);
    const std::size_t bytes = std::min(unread.size(), this->buffer.size());
    std::copy_n(unread.data(), bytes, static_cast<char*>(this->buffer.data()));
    this->handedOverBytes += bytes;
    this->complete(std::move(handler), {}, bytes);
}

void ConnectionReader::complete(ReadHandler handler, const asio::error_code& error, std::size_t bytes)
{
    asio::post(this->executor, [self = this->shared_from_this(), handler = std::move(handler), error, bytes] {
        // A request that was read on a connection that is closed by now would run without a caller and without its
        // body.
        if (self->socket)
            handler(error, bytes);
        else
            handler(asio::error::operation_aborted, 0);
    });
}

void ConnectionReader::discard(std::size_t bytes, ReadHandler handler)
{
    this->discardedBytes += bytes;
    const bool isLate = this->deadline && *this->deadline <= this->guard->clock.now();
    if (this->discardedBytes > lingerBytes || isLate)
        this->complete(std::move(handler), asio::error::eof, 0);
    else
        this->readMore(std::move(handler));
}

std::shared_ptr<const std::string> ConnectionReader::takeBody()
{
    const std::lock_guard lock(this->bodyMutex);
    return std::move(this->body);
}

void ConnectionReader::onAnswered()
{
    asio::dispatch(this->executor, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->socket)
            return;
        self->unanswered -= std::min<std::size_t>(self->unanswered, 1);
        if (self->isEnding) {
            self->respondToRefused();
            return;
        }
        self->idleSince = self->guard->clock.now();
        self->updateDeadline();
    });
}

void ConnectionReader::disconnect()
{
    asio::post(this->executor, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->socket)
            return;
        // The server closes the connection when its write fails.
        asio::error_code ignored;
        self->socket->shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    });
}

void ConnectionReader::closeIfIdle()
{
    asio::post(this->executor, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self || !self->socket || self->isEnding)
            return;
        // A request that has just arrived is served.
        if (!self->isIdle() || self->hasUnreadBytes()) {
            self->registry->setIdle(self->connection, self->isReportedIdle = self->isIdle());
            return;
        }
        self->guard->refusals.add(ClientRefusal::IdleConnection, self->guard->memory->heldBytes());
        self->isEnding = true;
        self->cancelRead();
    });
}

bool ConnectionReader::isIdle() const
{
    return !this->isEnding && this->unanswered == 0 && this->request.phase() == RequestReader::Phase::Idle;
}

void ConnectionReader::reportIdle()
{
    const bool isNowIdle = this->isIdle();
    if (std::exchange(this->isReportedIdle, isNowIdle) != isNowIdle)
        this->registry->setIdle(this->connection, isNowIdle);
}

void ConnectionReader::refuse(ClientRefusal refusal)
{
    if (!this->socket || std::exchange(this->isEnding, true))
        return;
    this->reportIdle();
    this->request.clear();
    this->guard->refusals.add(refusal, this->guard->memory->heldBytes());
    this->deadline.reset();
    this->unansweredRefusal = refusal;
    this->respondToRefused();
}

void ConnectionReader::respondToRefused()
{
    // The response must not come before those to earlier requests on the connection.
    if (!this->unansweredRefusal || this->unanswered > 0)
        return;
    const std::string_view response = refusalResponse(*std::exchange(this->unansweredRefusal, std::nullopt));
    asio::async_write(*this->socket, asio::buffer(response.data(), response.size()),
        asio::bind_executor(this->executor, [self = this->shared_from_this()](const asio::error_code&, std::size_t) {
            asio::error_code ignored;
            if (self->socket)
                self->socket->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }));
    this->endAfter(lingerTime);
}

void ConnectionReader::endAfter(Duration delay)
{
    this->deadline = this->guard->clock.now() + delay;
    this->waitForDeadline();
}

void ConnectionReader::cancelRead()
{
    asio::error_code ignored;
    if (this->socket)
        this->socket->cancel(ignored);
}

void ConnectionReader::updateDeadline()
{
    const RequestReader::Phase phase = this->request.phase();
    const bool isNewPhase = std::exchange(this->lastPhase, phase) != phase;
    switch (phase) {
    case RequestReader::Phase::Idle:
        this->deadline.reset();
        if (this->unanswered == 0)
            this->deadline = this->idleSince + this->limits.idleTime;
        break;
    case RequestReader::Phase::Head:
        if (isNewPhase)
            this->deadline = this->guard->clock.now() + this->limits.headTime;
        break;
    case RequestReader::Phase::Body:
        if (!isNewPhase && this->request.bodyBytes() < this->progressMark + ReceiveMemory::progressBytes)
            break;
        this->progressMark = this->request.bodyBytes();
        this->deadline = this->guard->clock.now() + this->limits.bodyStallTime;
        break;
    }
    this->reportIdle();
    this->waitForDeadline();
}

// A timer that ends too early waits again, so that most changes of the deadline do not touch it.
void ConnectionReader::waitForDeadline()
{
    if (!this->deadline || (this->timerEnd && *this->timerEnd <= *this->deadline))
        return;
    this->timerEnd = this->deadline;
    this->timer.expires_at(*this->deadline);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->timerEnd.reset();
        self->onDeadline();
    });
}

void ConnectionReader::onDeadline()
{
    if (!this->socket || !this->deadline)
        return;
    const TimePoint now = this->guard->clock.now();
    if (now < *this->deadline) {
        this->waitForDeadline();
        return;
    }
    if (this->isEnding) {
        this->cancelRead();
        return;
    }
    if (this->hasUnreadBytes()) {
        this->endAfter(lateReadTime);
        return;
    }
    const RequestReader::Phase phase = this->request.phase();
    if (phase != RequestReader::Phase::Idle) {
        this->refuse(phase == RequestReader::Phase::Head ? ClientRefusal::HeadTimeout : ClientRefusal::BodyTimeout);
        return;
    }
    this->isEnding = true;
    this->cancelRead();
}

bool ConnectionReader::hasUnreadBytes() const
{
    asio::error_code error;
    return this->socket->available(error) > 0 && !error;
}

} // namespace Web
