#include "upstreammonitor.h"

#include <foundation/logging.h>

namespace Agent {

using Foundation::Event;

/**
 * @class UpstreamMonitor
 * Reads the status of the upstream at intervals and detects failures, and restarts by a change of its generation.
 */
UpstreamMonitor::UpstreamMonitor(
    asio::io_context& context, UpstreamClient& client, Foundation::Duration interval, UpstreamMonitorHandlers handlers)
    : client(client)
    , interval(interval)
    , handlers(std::move(handlers))
    , timer(context)
{
}

void UpstreamMonitor::start() { this->check(); }

void UpstreamMonitor::stop()
{
    this->stopped = true;
    this->timer.cancel();
}

void UpstreamMonitor::checkNow()
{
    if (this->checking)
        this->checkAgain = true;
    else
        this->check();
}

void UpstreamMonitor::check()
{
    this->checking = true;
    this->client.readStatus([self = this->shared_from_this()](const Foundation::Result<UpstreamStatus>& status,
                                bool isRefused) { self->onStatus(status, isRefused); });
}

void UpstreamMonitor::scheduleCheck()
{
    this->timer.expires_after(this->interval);
    this->timer.async_wait([self = this->shared_from_this()](const std::error_code& error) {
        if (!error && !self->checking)
            self->check();
    });
}

void UpstreamMonitor::onStatus(const Foundation::Result<UpstreamStatus>& status, bool isRefused)
{
    this->checking = false;
    if (this->stopped)
        return;
    if (!status) {
        // An upstream that refuses connections has ended. One that accepts them without a valid status, or does not
        // answer to them, may be frozen and still hold its streams, so its generation does not end.
        if (isRefused)
            this->endGeneration();
        this->setHealth(UpstreamHealth::Down);
    } else {
        if (status.value().generation != this->currentGeneration) {
            this->endGeneration();
            this->currentGeneration = status.value().generation;
        }
        const bool drainingChanged = this->draining != status.value().draining;
        this->draining = status.value().draining;
        this->setHealth(UpstreamHealth::Up);
        if (drainingChanged)
            this->handlers.onChanged();
    }
    this->handlers.onChecked();
    if (this->checkAgain) {
        this->checkAgain = false;
        this->check();
        return;
    }
    this->scheduleCheck();
}

void UpstreamMonitor::setHealth(UpstreamHealth changed)
{
    if (changed == this->currentHealth)
        return;
    this->currentHealth = changed;
    const bool isUp = changed == UpstreamHealth::Up;
    Foundation::logEvent(isUp ? Event::UpstreamUp : Event::UpstreamDown, "", this->currentGeneration);
    this->handlers.onChanged();
}

void UpstreamMonitor::endGeneration()
{
    if (this->currentGeneration.empty())
        return;
    const std::string ended = this->currentGeneration;
    this->currentGeneration.clear();
    Foundation::logEvent(Event::UpstreamGeneration, "", ended);
    this->handlers.onGenerationEnded(ended);
}

} // namespace Agent
