#include "connectionacceptor.h"

#include <foundation/logging.h>

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <exception>
#include <string>
#include <utility>

namespace Web {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// What the system lacks is rarely free again at once, and retries without a pause would use up the processor.
constexpr Duration retryDelay = std::chrono::milliseconds(50);
constexpr Duration logInterval = std::chrono::seconds(1);
// A process that accepts nobody for longer is not ready.
constexpr Duration maximumBlockedTime = std::chrono::seconds(1);

} // namespace

ConnectionAcceptor::ConnectionAcceptor(asio::io_context& context, const Settings& settings,
    const Foundation::Clock& clock, std::shared_ptr<ConnectionReaders> connections, SocketHandler onAccepted)
    : context(context)
    , settings(settings)
    , clock(clock)
    , connections(std::move(connections))
    , onAccepted(std::move(onAccepted))
    , strand(context.get_executor())
    , acceptor(this->strand)
    , retryTimer(this->strand)
{
}

void ConnectionAcceptor::open(const asio::ip::tcp::endpoint& endpoint)
{
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->acceptNext();
}

void ConnectionAcceptor::close()
{
    asio::error_code ignored;
    this->acceptor.close(ignored);
    this->retryTimer.cancel();
}

bool ConnectionAcceptor::canAccept() const
{
    const TimePoint::rep since = this->blockedSince;
    if (since == 0 || this->elapsedSince(since) < maximumBlockedTime)
        return true;
    // After a failure, the next accept only ends when there is another caller.
    return !this->isFull && this->elapsedSince(this->lastFailure) >= maximumBlockedTime;
}

Duration ConnectionAcceptor::elapsedSince(TimePoint::rep time) const
{
    return this->clock.now() - TimePoint(TimePoint::duration(time));
}

void ConnectionAcceptor::acceptNext()
{
    if (this->connections->size() >= this->settings.maximumConnections) {
        this->waitForCaller();
        return;
    }
    // The address comes with the connection, since it cannot be asked for any more if the caller has reset it.
    this->acceptor.async_accept(this->context, this->peer,
        asio::bind_executor(this->strand,
            [self = this->shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
                self->onAcceptEnded(error, std::move(socket));
            }));
}

void ConnectionAcceptor::waitForCaller()
{
    this->acceptor.async_wait(asio::ip::tcp::acceptor::wait_read,
        asio::bind_executor(this->strand, [self = this->shared_from_this()](const asio::error_code& error) {
            if (!error)
                self->waitForRoom();
            else if (error != asio::error::operation_aborted)
                self->onAcceptFailed(error);
        }));
}

void ConnectionAcceptor::waitForRoom()
{
    if (!this->acceptor.is_open())
        return;
    this->isFull = this->connections->size() >= this->settings.maximumConnections;
    this->setBlocked(this->isFull);
    if (!this->isFull) {
        this->acceptNext();
        return;
    }
    this->connections->notifyOnChange(
        this->settings.maximumConnections, [weak = this->weak_from_this(), strand = this->strand] {
            asio::post(strand, [weak] {
                if (const auto self = weak.lock())
                    self->waitForRoom();
            });
        });
    this->connections->closeLongestIdle(this->settings.maximumConnections - 1);
}

void ConnectionAcceptor::onAcceptEnded(const asio::error_code& error, asio::ip::tcp::socket socket)
{
    if (error) {
        if (error != asio::error::operation_aborted)
            this->onAcceptFailed(error);
        return;
    }
    this->setBlocked(false);
    try {
        this->onAccepted(std::move(socket), this->peer);
    } catch (const std::exception& exception) {
        Foundation::logEvent(Foundation::Event::AcceptFailed, "", exception.what());
    }
    this->acceptNext();
}

void ConnectionAcceptor::onAcceptFailed(const asio::error_code& error)
{
    const TimePoint now = this->clock.now();
    if (this->elapsedSince(this->lastFailure) >= maximumBlockedTime)
        this->setBlocked(false);
    this->setBlocked(true);
    this->lastFailure = now.time_since_epoch().count();
    ++this->unloggedFailures;
    if (now >= this->nextLine) {
        this->nextLine = now + logInterval;
        Foundation::logEvent(Foundation::Event::AcceptFailed, "",
            "error=\"" + error.message() + "\" failures=" + std::to_string(std::exchange(this->unloggedFailures, 0))
                + " connections=" + std::to_string(this->connections->size()));
    }
    this->connections->closeLongestIdle(0);
    this->retryTimer.expires_after(retryDelay);
    this->retryTimer.async_wait([self = this->shared_from_this()](const asio::error_code& timerError) {
        if (!timerError && self->acceptor.is_open())
            self->acceptNext();
    });
}

void ConnectionAcceptor::setBlocked(bool isBlocked)
{
    if (!isBlocked)
        this->blockedSince = 0;
    else if (this->blockedSince == 0)
        this->blockedSince = std::max<TimePoint::rep>(1, this->clock.now().time_since_epoch().count());
}

} // namespace Web
