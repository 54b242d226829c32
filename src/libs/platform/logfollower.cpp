#include "logfollower.h"

#include <foundation/identifier.h>

#include <algorithm>

namespace Platform {

namespace {

constexpr Foundation::Duration longPollTime = std::chrono::seconds(5);
constexpr std::int64_t retryDelayMs = 250;

} // namespace

LogFollower::LogFollower(asio::io_context& context, LogClient& client, std::string stream, LogFollowerHandlers handlers)
    : client(client)
    , stream(std::move(stream))
    , handlers(std::move(handlers))
    , retryTimer(context)
{
}

void LogFollower::start(std::uint64_t from)
{
    this->nextOffset = from;
    this->readNextPage();
}

void LogFollower::stop()
{
    this->isStopped = true;
    this->retryTimer.cancel();
}

void LogFollower::skipTo(std::uint64_t from) { this->nextOffset = std::max(this->nextOffset, from); }

void LogFollower::readNextPage()
{
    if (this->isStopped)
        return;
    // The first read must return at once even if the stream is empty, since it shows that the stream was read to its
    // end.
    const Foundation::Duration wait = this->hasRead ? longPollTime : Foundation::Duration::zero();
    this->client.read(this->stream, this->nextOffset, wait,
        [self = this->shared_from_this()](const Foundation::Result<LogPage>& page) { self->onRead(page); });
}

void LogFollower::onRead(const Foundation::Result<LogPage>& page)
{
    if (this->isStopped)
        return;
    this->setAvailable(page.has_value());
    if (!page) {
        this->retryTimer.expires_after(std::chrono::milliseconds(Foundation::jittered(retryDelayMs)));
        this->retryTimer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
            if (!error)
                self->readNextPage();
        });
        return;
    }
    if (!page.value().records.empty())
        this->nextOffset = std::max(this->nextOffset, page.value().records.back().offset + 1);
    this->hasRead = true;
    this->handlers.onPage(page.value());
    this->readNextPage();
}

void LogFollower::setAvailable(bool isAvailable)
{
    if (isAvailable == this->isLogAvailable)
        return;
    this->isLogAvailable = isAvailable;
    this->handlers.onAvailability(isAvailable);
}

} // namespace Platform
