#include "peermesh.h"

#include <foundation/logging.h>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;

// Peers tell everything they have under way at this interval, beside each change. With many peers the interval grows,
// so that heartbeats cost a process no more than about forty messages a second.
constexpr Duration leastHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration longestHeartbeatInterval = std::chrono::milliseconds(1'200);
constexpr Duration heartbeatIntervalOfPeer = std::chrono::milliseconds(50);
// A connection on which nothing came for three heartbeats is dead.
constexpr int heartbeatsUntilSilent = 3;
constexpr Duration firstRetryPause = std::chrono::milliseconds(300);
constexpr Duration longestRetryPause = std::chrono::seconds(5);

} // namespace

PeerMesh::PeerMesh(asio::io_context& context, const Foundation::Clock& clock, std::string self, std::string address,
    std::string failureDomain, Handlers handlers)
    : clock(clock)
    , self(std::move(self))
    , address(std::move(address))
    , failureDomain(std::move(failureDomain))
    , handlers(std::move(handlers))
    , server(context,
          { [](Wire::ConnectionId) {},
              [this](Wire::ConnectionId connection, Wire::Message message) {
                  this->onIncomingMessage(connection, std::move(message));
              },
              [this](Wire::ConnectionId connection) { this->onIncomingClosed(connection); } })
    , client(context,
          { [this](Wire::ConnectionId connection) { this->onOutgoingOpen(connection); },
              [this](Wire::ConnectionId connection, Wire::Message message) {
                  this->onOutgoingMessage(connection, std::move(message));
              },
              [this](Wire::ConnectionId connection) { this->onOutgoingClosed(connection); } })
{
}

Foundation::Result<void> PeerMesh::listen(std::string_view ip, std::uint16_t port)
{
    return this->server.listen(ip, port);
}

void PeerMesh::setMembers(const std::map<std::string, std::string>& addresses)
{
    for (const auto& [process, peerAddress] : addresses) {
        this->members[process] = peerAddress;
        if (process != this->self && peerAddress != this->address)
            this->outgoing.try_emplace(peerAddress);
    }
    this->handlers.onMembersChanged();
}

void PeerMesh::setSeeds(const std::vector<std::string>& addresses)
{
    for (const std::string& seed : addresses) {
        if (seed != this->address)
            this->outgoing.try_emplace(seed);
    }
}

std::size_t PeerMesh::memberCount() const
{
    // Seeds that were never reached may be stale, so only named processes count, and this one.
    return this->members.size() + (this->members.contains(this->self) ? 0 : 1);
}

void PeerMesh::reset()
{
    for (auto& [peerAddress, peer] : this->outgoing) {
        if (peer.connection != 0)
            this->client.close(peer.connection);
        peer = {};
    }
}

void PeerMesh::tick()
{
    const TimePoint now = this->clock.now();
    this->dropSilent(now);
    for (auto& [peerAddress, peer] : this->outgoing) {
        if (peer.connection == 0 && now >= peer.nextTry)
            this->connect(peerAddress, peer);
    }
    if (now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = now + this->heartbeatInterval();
    this->broadcast(this->handlers.wholeLoad());
}

Duration PeerMesh::heartbeatInterval() const
{
    return std::clamp<Duration>(heartbeatIntervalOfPeer * static_cast<int>(this->outgoing.size()),
        leastHeartbeatInterval, longestHeartbeatInterval);
}

void PeerMesh::dropSilent(TimePoint now)
{
    const Duration silenceLimit = heartbeatsUntilSilent * this->heartbeatInterval();
    for (auto& [peerAddress, peer] : this->outgoing) {
        if (!peer.isOpen || now - peer.lastHeard < silenceLimit)
            continue;
        this->client.close(peer.connection);
        logEvent(Event::PeerDisconnected, "", "address=" + peerAddress + " reason=silent");
        peer = {};
    }
    std::vector<Wire::ConnectionId> silent;
    for (const auto& [connection, peer] : this->incoming) {
        if (now - peer.lastHeard >= silenceLimit)
            silent.push_back(connection);
    }
    for (const Wire::ConnectionId connection : silent) {
        this->server.close(connection);
        this->onIncomingClosed(connection);
    }
}

void PeerMesh::connect(const std::string& peerAddress, Outgoing& peer)
{
    peer.nextTry = this->clock.now() + Foundation::doublingPause(firstRetryPause, longestRetryPause, ++peer.failures);
    peer.connection = this->client.connect(peerAddress);
}

void PeerMesh::broadcast(const Wire::Message& message) { this->client.broadcast(this->openConnections(), message); }

std::vector<Wire::ConnectionId> PeerMesh::openConnections() const
{
    std::vector<Wire::ConnectionId> open;
    for (const auto& [peerAddress, peer] : this->outgoing) {
        if (peer.isOpen)
            open.push_back(peer.connection);
    }
    return open;
}

void PeerMesh::tellNeighbours(const Wire::Message& message)
{
    for (const auto& [peerAddress, process] : this->neighbours) {
        const auto found = this->outgoing.find(peerAddress);
        if (found != this->outgoing.end() && found->second.isOpen)
            this->client.send(found->second.connection, message);
    }
}

std::size_t PeerMesh::rank() const
{
    std::size_t before = 0;
    for (const auto& [connection, peer] : this->incoming) {
        if (peer.failureDomain == this->failureDomain && !peer.process.empty() && peer.process < this->self)
            ++before;
    }
    return before;
}

bool PeerMesh::ask(const Wire::KnowledgeQuery& query)
{
    const std::vector<Wire::ConnectionId> open = this->openConnections();
    if (open.empty())
        return false;
    this->client.send(open[++this->lastAsked % open.size()], query);
    return true;
}

PeerMesh::Outgoing* PeerMesh::findOutgoing(Wire::ConnectionId connection, std::string* peerAddress)
{
    for (auto& [candidate, peer] : this->outgoing) {
        if (peer.connection != connection)
            continue;
        if (peerAddress)
            *peerAddress = candidate;
        return &peer;
    }
    return nullptr;
}

void PeerMesh::onOutgoingOpen(Wire::ConnectionId connection)
{
    std::string peerAddress;
    Outgoing* const peer = this->findOutgoing(connection, &peerAddress);
    if (!peer)
        return;
    peer->isOpen = true;
    peer->failures = 0;
    peer->lastHeard = this->clock.now();
    logEvent(Event::PeerConnected, "", "address=" + peerAddress);
    const std::vector<Wire::Message> greeting { Wire::PeerHello { Wire::protocolVersion, this->self, this->address,
                                                    this->failureDomain },
        this->handlers.wholeLoad(), this->handlers.suspects() };
    this->client.send(connection, greeting);
}

void PeerMesh::onOutgoingMessage(Wire::ConnectionId connection, Wire::Message message)
{
    Outgoing* const peer = this->findOutgoing(connection);
    if (!peer)
        return;
    peer->lastHeard = this->clock.now();
    if (const auto* const reply = std::get_if<Wire::KnowledgeReply>(&message))
        this->handlers.onReply(*reply);
}

void PeerMesh::onOutgoingClosed(Wire::ConnectionId connection)
{
    std::string peerAddress;
    Outgoing* const peer = this->findOutgoing(connection, &peerAddress);
    if (!peer)
        return;
    if (peer->isOpen)
        logEvent(Event::PeerDisconnected, "", "address=" + peerAddress + " reason=closed");
    peer->connection = 0;
    peer->isOpen = false;
}

void PeerMesh::onIncomingMessage(Wire::ConnectionId connection, Wire::Message message)
{
    Incoming& peer = this->incoming[connection];
    peer.lastHeard = this->clock.now();
    if (const auto* const hello = std::get_if<Wire::PeerHello>(&message)) {
        if (hello->protocol != Wire::protocolVersion) {
            logEvent(Event::PeerRefused, "", "process=" + hello->process + " reason=protocol");
            this->server.close(connection);
            return;
        }
        peer.process = hello->process;
        peer.failureDomain = hello->failureDomain;
        if (hello->failureDomain == this->failureDomain)
            this->neighbours[hello->address] = hello->process;
        this->setMembers({ { hello->process, hello->address } });
        return;
    }
    if (peer.process.empty())
        return;
    if (const auto* const load = std::get_if<Wire::PeerLoad>(&message)) {
        this->handlers.onLoad(peer.process, *load);
        if (load->isComplete)
            this->server.send(connection, Wire::Heartbeat {});
    } else if (const auto* const query = std::get_if<Wire::KnowledgeQuery>(&message)) {
        this->server.send(connection, this->handlers.onQuery(*query));
    } else if (const auto* const news = std::get_if<Wire::KnowledgeReply>(&message)) {
        this->handlers.onReply(*news);
    } else if (const auto* const suspects = std::get_if<Wire::SuspectNotice>(&message)) {
        this->handlers.onSuspects(*suspects);
    }
}

void PeerMesh::onIncomingClosed(Wire::ConnectionId connection)
{
    const auto found = this->incoming.find(connection);
    if (found == this->incoming.end())
        return;
    const std::string process = found->second.process;
    this->incoming.erase(found);
    const bool hasAnother
        = std::ranges::any_of(this->incoming, [&](const auto& entry) { return entry.second.process == process; });
    if (!process.empty() && !hasAnother)
        this->handlers.onLost(process);
}

} // namespace Gateway
