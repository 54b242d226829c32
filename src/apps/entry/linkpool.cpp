#include "linkpool.h"

#include <foundation/logging.h>

#include <asio/post.hpp>

#include <algorithm>
#include <type_traits>

namespace Entry {

namespace {

using Foundation::Event;

// Returns the attempt that a message belongs to; null for messages that belong to no attempt, such as heartbeats.
const std::string* findAttemptId(const Wire::Message& message)
{
    return std::visit(
        [](const auto& typed) -> const std::string* {
            if constexpr (requires { typed.attempt; })
                return &typed.attempt;
            else
                return nullptr;
        },
        message);
}

void applyLoad(AgentLink& link, const Wire::Message& message)
{
    std::visit(
        [&link](const auto& typed) {
            if constexpr (requires { typed.load; })
                link.setLoad(typed.load);
        },
        message);
}

// Returns whether a message contains a load. It is left empty, with capacity 0, at the end of a stored or resumed
// answer.
bool hasLoad(const Wire::Message& message)
{
    return std::visit(
        [](const auto& typed) {
            if constexpr (requires { typed.load; })
                return typed.load.capacityTokens != 0;
            else
                return false;
        },
        message);
}

} // namespace

/**
 * @class LinkPool
 * The connections of an entry to its agents. Reconnects after a connection was lost.
 */
LinkPool::LinkPool(
    asio::io_context& control, asio::io_context& workers, const Foundation::Clock& clock, LinkPoolHandlers handlers)
    : control(control)
    , clock(clock)
    , handlers(std::move(handlers))
    , endpoint(workers,
          {
              [this](Wire::ConnectionId connection) { this->onOpen(connection); },
              [this](Wire::ConnectionId connection, Wire::Message message) {
                  this->onMessage(connection, std::move(message));
              },
              [this](Wire::ConnectionId connection) { this->onClosed(connection); },
          })
{
}

void LinkPool::setTargets(const std::vector<Membership::Instance>& instances)
{
    for (const Membership::Instance& instance : instances) {
        AgentLinkPtr& link = this->linksByInstance[instance.id];
        const bool isUnchanged
            = link && link->instance().address == instance.address && link->instance().upstream == instance.upstream;
        if (isUnchanged)
            continue;
        if (link && link->connection() != 0)
            this->endpoint.close(link->connection());
        link = std::make_shared<AgentLink>(instance, this->endpoint);
        this->connect(link);
    }
    std::erase_if(this->linksByInstance, [&instances](const auto& entry) {
        const bool isTarget = std::ranges::find(instances, entry.first, &Membership::Instance::id) != instances.end();
        return !isTarget && entry.second->connection() == 0;
    });
}

void LinkPool::maintain(std::uint64_t version, Foundation::Duration timeout)
{
    const Foundation::TimePoint now = this->clock.now();
    for (const auto& [id, link] : this->linksByInstance) {
        const Wire::ConnectionId connection = link->connection();
        if (connection == 0) {
            this->connect(link);
        } else if (now - link->lastReceiveTime() >= timeout) {
            this->endpoint.close(connection);
            this->dropConnection(link, connection);
        } else if (link->isWelcomed()) {
            link->send(Wire::Heartbeat { version });
        }
    }
}

void LinkPool::broadcast(const Wire::Message& message)
{
    for (const auto& [id, link] : this->linksByInstance) {
        if (link->isWelcomed())
            link->send(message);
    }
}

std::vector<AgentLinkPtr> LinkPool::links() const
{
    std::vector<AgentLinkPtr> list;
    for (const auto& [id, link] : this->linksByInstance)
        list.push_back(link);
    return list;
}

AgentLinkPtr LinkPool::findByConnection(Wire::ConnectionId connection) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->linksByConnection.find(connection);
    return found == this->linksByConnection.end() ? nullptr : found->second;
}

void LinkPool::onOpen(Wire::ConnectionId connection)
{
    if (const AgentLinkPtr link = this->findByConnection(connection)) {
        link->setLastReceiveTime(this->clock.now());
        link->send(this->handlers.makeHello());
    }
}

void LinkPool::onMessage(Wire::ConnectionId connection, Wire::Message message)
{
    const AgentLinkPtr link = this->findByConnection(connection);
    if (!link)
        return;
    link->setLastReceiveTime(this->clock.now());
    if (const auto* const welcome = std::get_if<Wire::Welcome>(&message)) {
        this->onWelcome(link, *welcome);
        return;
    }
    if (const auto* const notice = std::get_if<Wire::SuspectNotice>(&message)) {
        this->handlers.onSuspects(*notice);
        return;
    }
    if (hasLoad(message))
        applyLoad(*link, message);
    if (const std::string* const attempt = findAttemptId(message)) {
        const std::string id = *attempt;
        if (!link->notifyListener(id, std::move(message)))
            this->strayMessageCount.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    asio::post(this->control, [this, link, message = std::move(message)]() mutable {
        this->handlers.onControlMessage(link, std::move(message));
    });
}

void LinkPool::onWelcome(const AgentLinkPtr& link, const Wire::Welcome& welcome)
{
    link->setPeerVersion(welcome.configurationVersion);
    link->setWelcomed(welcome.incarnation, welcome.load);
    Foundation::logEvent(Event::AgentConnected, "", link->instance().id);
    asio::post(this->control, [this, link] { this->handlers.onWelcomed(link); });
}

void LinkPool::onClosed(Wire::ConnectionId connection)
{
    const AgentLinkPtr link = this->findByConnection(connection);
    if (link)
        this->dropConnection(link, connection);
}

void LinkPool::connect(const AgentLinkPtr& link)
{
    // The lock is held until the link is registered, so that handlers that run on another thread find it.
    const std::lock_guard lock(this->mutex);
    const Wire::ConnectionId connection = this->endpoint.connect(link->instance().address);
    if (connection == 0)
        return;
    link->setLastReceiveTime(this->clock.now());
    link->setConnection(connection);
    this->linksByConnection[connection] = link;
}

void LinkPool::dropConnection(const AgentLinkPtr& link, Wire::ConnectionId connection)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->linksByConnection.erase(connection) == 0)
            return;
    }
    const bool wasWelcomed = link->isWelcomed();
    link->setDisconnected();
    if (!wasWelcomed)
        return;
    Foundation::logEvent(Event::AgentDisconnected, "", link->instance().id);
    asio::post(this->control, [this, link] { this->handlers.onDisconnected(link); });
}

} // namespace Entry
