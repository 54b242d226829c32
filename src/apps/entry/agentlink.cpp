#include "agentlink.h"

namespace Entry {

/**
 * @class AgentLink
 * The state of one agent that the threads of an entry share: the connection, the last load report and the attempts in
 * flight. The load is an estimate, so its fields are stored one by one without a lock; a reader may see a mix of two
 * reports.
 */
AgentLink::AgentLink(Membership::Instance instance, Wire::ClientEndpoint& endpoint)
    : listedInstance(std::move(instance))
    , endpoint(endpoint)
{
    this->setLoad({});
}

void AgentLink::setConnection(Wire::ConnectionId connection)
{
    this->currentConnection.store(connection, std::memory_order_release);
}

void AgentLink::setWelcomed(const std::string& incarnation, const Membership::UpstreamLoad& load)
{
    this->setLoad(load);
    {
        const std::lock_guard lock(this->mutex);
        this->currentIncarnation = incarnation;
    }
    this->welcomed.store(true, std::memory_order_release);
    for (const auto& [attempt, listener] : this->listeners())
        listener->onLinkRestored(attempt, incarnation);
}

void AgentLink::setDisconnected()
{
    this->welcomed.store(false, std::memory_order_release);
    this->setConnection(0);
    Membership::UpstreamLoad load = this->load();
    load.availability = Membership::Availability::NotReady;
    this->setLoad(load);
    for (const auto& [attempt, listener] : this->listeners())
        listener->onLinkLost(attempt);
}

std::string AgentLink::incarnation() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentIncarnation;
}

void AgentLink::setLoad(const Membership::UpstreamLoad& load)
{
    const std::array<std::int64_t, loadFieldCount> values = { static_cast<std::int64_t>(load.availability),
        load.running, load.queued, load.concurrentLimit, load.shortWaitMs, load.longWaitMs, load.longPrefills,
        load.freeMemoryTokens, load.capacityTokens, load.prefillTokensPerSecond };
    for (std::size_t i = 0; i < values.size(); ++i)
        this->loadFields[i].store(values[i], std::memory_order_relaxed);
    this->requestsSinceReport.store(0, std::memory_order_relaxed);
    this->tokensSinceReport.store(0, std::memory_order_relaxed);
}

Membership::UpstreamLoad AgentLink::load() const
{
    const auto field = [this](std::size_t i) { return this->loadFields[i].load(std::memory_order_relaxed); };
    return { static_cast<Membership::Availability>(field(0)), field(1), field(2), field(3), field(4), field(5),
        field(6), field(7), field(8), field(9) };
}

void AgentLink::addAttempt(const std::string& attempt, std::weak_ptr<AttemptListener> listener, std::int64_t tokens)
{
    this->requestsSinceReport.fetch_add(1, std::memory_order_relaxed);
    this->tokensSinceReport.fetch_add(tokens, std::memory_order_relaxed);
    const std::lock_guard lock(this->mutex);
    this->attempts[attempt] = std::move(listener);
}

void AgentLink::removeAttempt(const std::string& attempt)
{
    const std::lock_guard lock(this->mutex);
    this->attempts.erase(attempt);
}

bool AgentLink::notifyListener(const std::string& attempt, Wire::Message message)
{
    std::shared_ptr<AttemptListener> listener;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->attempts.find(attempt);
        if (found != this->attempts.end())
            listener = found->second.lock();
    }
    if (!listener)
        return false;
    listener->onAttemptMessage(attempt, std::move(message));
    return true;
}

void AgentLink::send(const Wire::Message& message)
{
    if (const Wire::ConnectionId target = this->connection())
        this->endpoint.send(target, message);
}

std::map<std::string, std::shared_ptr<AttemptListener>> AgentLink::listeners() const
{
    std::map<std::string, std::shared_ptr<AttemptListener>> active;
    const std::lock_guard lock(this->mutex);
    for (const auto& [attempt, listener] : this->attempts) {
        if (auto shared = listener.lock())
            active[attempt] = std::move(shared);
    }
    return active;
}

} // namespace Entry
