#include "peerconnections.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <cmath>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;

// Each process sends its full load to all peers at this interval, in addition to its changes. The interval grows with
// the number of peers, so that heartbeats cost a process at most about forty messages a second.
constexpr Duration minimumHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration maximumHeartbeatInterval = std::chrono::milliseconds(1'200);
constexpr Duration heartbeatIntervalPerPeer = std::chrono::milliseconds(50);
// A connection is closed as dead if nothing was received for three heartbeat intervals.
constexpr int missedHeartbeatLimit = 3;
constexpr Duration initialReconnectDelay = std::chrono::milliseconds(300);
constexpr Duration maximumReconnectDelay = std::chrono::seconds(5);
// If at least this fraction of the listed gateways is connected, their load is taken as the whole load. Some listed
// gateways no longer exist, and a whole failure domain may be unreachable.
constexpr double connectedFraction = 0.6;
// Finished work is published within this time per receiving process, together with the other changes of that time.
constexpr Duration flushIntervalPerPeer = std::chrono::milliseconds(5);
// The same if a load relay forwards the update; independent of the number of processes.
constexpr Duration relayedFlushInterval = std::chrono::milliseconds(40);

} // namespace

PeerConnections::PeerConnections(asio::io_context& context, const Foundation::Clock& clock,
    Membership::LoadRelayCandidate self, std::string address, Handlers handlers)
    : clock(clock)
    , self(std::move(self))
    , address(std::move(address))
    , incarnation(Foundation::makeIdentifier().substr(0, 8))
    , handlers(std::move(handlers))
    , loadRelays(this->self)
    , loadBroadcaster(clock, this->self, this->loadRelays,
          { [this](const std::string& process, const Wire::LoadUpdate& update) { this->sendTo(process, update); },
              [this](const Wire::LoadUpdate& update, bool isDomainOnly) {
                  if (isDomainOnly)
                      this->sendToDomainPeers(update);
                  else
                      this->broadcast(update);
              },
              [this](const Wire::PeerLoad& load) { this->applyLoad(load); } })
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

Foundation::Result<void> PeerConnections::listen(std::string_view ip, std::uint16_t port)
{
    return this->server.listen(ip, port);
}

void PeerConnections::addMembers(const std::map<std::string, std::string>& addresses)
{
    for (const auto& [process, peerAddress] : addresses) {
        this->members[process] = peerAddress;
        if (process != this->self.process && peerAddress != this->address)
            this->outgoing.try_emplace(peerAddress);
    }
    this->handlers.onMembersChanged();
}

void PeerConnections::addSeeds(const std::vector<std::string>& addresses)
{
    for (const std::string& seed : addresses) {
        if (seed != this->address)
            this->outgoing.try_emplace(seed);
    }
}

std::size_t PeerConnections::memberCount() const
{
    // Seed addresses that were never reached may be outdated, so only named processes are counted, and this one.
    return this->members.size() + (this->members.contains(this->self.process) ? 0 : 1);
}

std::size_t PeerConnections::memberRank() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->members, [this](const auto& member) { return member.first < this->self.process; }));
}

std::size_t PeerConnections::presentMemberCount() const
{
    return this->memberCount() - std::min(this->departedMembers.size(), this->memberCount() - 1);
}

std::vector<Membership::LoadRelayCandidate> PeerConnections::reachableGateways() const
{
    std::vector<Membership::LoadRelayCandidate> gateways;
    for (const auto& [domain, processes] : this->loadRelays.candidatesByDomain()) {
        for (const auto& [process, candidate] : processes)
            gateways.push_back(candidate);
    }
    return gateways;
}

bool PeerConnections::isMajorityConnected() const
{
    return static_cast<double>(this->peers.size() + 1) >= connectedFraction * static_cast<double>(this->memberCount());
}

void PeerConnections::closeOutgoing()
{
    for (auto& [peerAddress, peer] : this->outgoing) {
        if (peer.connection != 0)
            this->client.close(peer.connection);
        peer = {};
        this->updateCandidateAt(peerAddress);
    }
}

void PeerConnections::tick()
{
    const TimePoint now = this->clock.now();
    this->loadBroadcaster.tick();
    this->closeSilentConnections(now);
    for (auto& [peerAddress, peer] : this->outgoing) {
        if (peer.connection == 0 && now >= peer.nextConnect)
            this->connect(peerAddress, peer);
    }
    if (now < this->nextHeartbeat)
        return;
    this->nextHeartbeat = now + this->heartbeatInterval();
    this->sendHeartbeats();
}

void PeerConnections::sendHeartbeats()
{
    const Wire::PeerLoad load = this->makeLoad(true, this->handlers.fullLoad());
    const std::size_t rounds = this->loadBroadcaster.completeLoadRounds();
    if (rounds == 1) {
        this->broadcast(load);
        return;
    }
    // Support for a permit issuer lapses unless each heartbeat repeats it.
    const auto issuer = this->peers.find(load.permitIssuer);
    std::size_t index = ++this->heartbeatCount;
    std::vector<Wire::ConnectionId> completeReceivers;
    std::vector<Wire::ConnectionId> otherReceivers;
    for (const auto& [peerAddress, peer] : this->outgoing) {
        const bool isIssuer = issuer != this->peers.end() && issuer->second.address == peerAddress;
        const bool isComplete = index++ % rounds == 0 || isIssuer;
        if (peer.isOpen)
            (isComplete ? completeReceivers : otherReceivers).push_back(peer.connection);
    }
    this->client.broadcast(completeReceivers, load);
    // A load that names no process changes nothing, but is answered like any other.
    this->client.broadcast(otherReceivers, Wire::PeerLoad {});
}

Wire::PeerLoad PeerConnections::makeLoad(bool isComplete, std::vector<Placement::UpstreamUsage> usages)
{
    return { this->self.process, this->incarnation, ++this->lastNumber, isComplete, std::move(usages),
        isComplete ? this->handlers.permitIssuer() : std::string() };
}

void PeerConnections::publishLoad(std::vector<Placement::UpstreamUsage> changes)
{
    this->loadBroadcaster.publish(this->makeLoad(false, std::move(changes)));
}

Duration PeerConnections::loadFlushInterval() const
{
    return this->loadBroadcaster.sendsDirectly() ? flushIntervalPerPeer * static_cast<int>(this->memberCount())
                                                 : relayedFlushInterval;
}

Duration PeerConnections::heartbeatInterval() const
{
    return std::clamp<Duration>(heartbeatIntervalPerPeer * static_cast<int>(this->outgoing.size()),
        minimumHeartbeatInterval, maximumHeartbeatInterval);
}

void PeerConnections::closeSilentConnections(TimePoint now)
{
    const Duration silenceTimeout = missedHeartbeatLimit * this->heartbeatInterval();
    for (auto& [peerAddress, peer] : this->outgoing) {
        if (!peer.isOpen || now - peer.lastReceived < silenceTimeout)
            continue;
        this->client.close(peer.connection);
        logEvent(Event::PeerDisconnected, "", "address=" + peerAddress + " reason=silent");
        peer = {};
        this->updateCandidateAt(peerAddress);
    }
    std::vector<Wire::ConnectionId> silent;
    for (const auto& [connection, peer] : this->incoming) {
        if (now - peer.lastReceived >= silenceTimeout)
            silent.push_back(connection);
    }
    for (const Wire::ConnectionId connection : silent) {
        this->server.close(connection);
        this->onIncomingClosed(connection);
    }
}

void PeerConnections::connect(const std::string& peerAddress, Outgoing& peer)
{
    peer.nextConnect = this->clock.now()
        + Foundation::exponentialBackoff(initialReconnectDelay, maximumReconnectDelay, ++peer.failures);
    peer.connection = this->client.connect(peerAddress);
}

void PeerConnections::broadcast(const Wire::Message& message)
{
    this->client.broadcast(this->openConnections(), message);
}

std::vector<Wire::ConnectionId> PeerConnections::openConnections() const
{
    std::vector<Wire::ConnectionId> open;
    for (const auto& [peerAddress, peer] : this->outgoing) {
        if (peer.isOpen)
            open.push_back(peer.connection);
    }
    return open;
}

void PeerConnections::sendToDomainPeers(const Wire::Message& message)
{
    std::vector<Wire::ConnectionId> open;
    for (const auto& [process, peer] : this->peers) {
        const auto found = this->outgoing.find(peer.address);
        if (peer.candidate.failureDomain == this->self.failureDomain && found != this->outgoing.end()
            && found->second.isOpen)
            open.push_back(found->second.connection);
    }
    this->client.broadcast(open, message);
}

void PeerConnections::sendTo(const std::string& process, const Wire::Message& message)
{
    const auto peer = this->peers.find(process);
    if (peer == this->peers.end())
        return;
    const auto found = this->outgoing.find(peer->second.address);
    if (found != this->outgoing.end() && found->second.isOpen)
        this->client.send(found->second.connection, message);
}

void PeerConnections::updateCandidate(const Peer& peer)
{
    const auto found = this->outgoing.find(peer.address);
    if (found != this->outgoing.end() && found->second.isOpen)
        this->loadRelays.add(peer.candidate);
    else
        this->loadRelays.remove(peer.candidate.process);
}

void PeerConnections::updateCandidateAt(std::string_view peerAddress)
{
    for (const auto& [process, peer] : this->peers) {
        if (peer.address == peerAddress)
            this->updateCandidate(peer);
    }
}

std::size_t PeerConnections::domainRank() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->peers, [this](const auto& entry) {
        const Membership::LoadRelayCandidate& peer = entry.second.candidate;
        return peer.failureDomain == this->self.failureDomain && Membership::isPreferred(peer, this->self);
    }));
}

bool PeerConnections::sendQuery(const Wire::StoreCacheQuery& query)
{
    const std::vector<Wire::ConnectionId> open = this->openConnections();
    if (open.empty())
        return false;
    this->client.send(open[++this->queryCount % open.size()], query);
    return true;
}

PeerConnections::Outgoing* PeerConnections::findOutgoing(Wire::ConnectionId connection, std::string* peerAddress)
{
    for (auto& [outgoingAddress, peer] : this->outgoing) {
        if (peer.connection != connection)
            continue;
        if (peerAddress)
            *peerAddress = outgoingAddress;
        return &peer;
    }
    return nullptr;
}

void PeerConnections::onOutgoingOpen(Wire::ConnectionId connection)
{
    std::string peerAddress;
    Outgoing* const peer = this->findOutgoing(connection, &peerAddress);
    if (!peer)
        return;
    peer->isOpen = true;
    peer->failures = 0;
    peer->lastReceived = this->clock.now();
    logEvent(Event::PeerConnected, "", "address=" + peerAddress);
    const Wire::PeerHello hello { Wire::protocolVersion, this->self.process, this->address, this->self.failureDomain,
        this->incarnation, std::lround(this->self.processorCores * 1e3) };
    const std::vector<Wire::Message> greeting { hello, this->makeLoad(true, this->handlers.fullLoad()),
        this->handlers.suspects(), this->handlers.upstreamLimits() };
    this->client.send(connection, greeting);
    this->updateCandidateAt(peerAddress);
}

void PeerConnections::onOutgoingMessage(Wire::ConnectionId connection, Wire::Message message)
{
    Outgoing* const peer = this->findOutgoing(connection);
    if (!peer)
        return;
    peer->lastReceived = this->clock.now();
    if (const auto* const reply = std::get_if<Wire::StoreCacheReply>(&message))
        this->handlers.onReply(*reply);
}

void PeerConnections::onOutgoingClosed(Wire::ConnectionId connection)
{
    std::string peerAddress;
    Outgoing* const peer = this->findOutgoing(connection, &peerAddress);
    if (!peer)
        return;
    if (peer->isOpen)
        logEvent(Event::PeerDisconnected, "", "address=" + peerAddress + " reason=closed");
    peer->connection = 0;
    peer->isOpen = false;
    this->updateCandidateAt(peerAddress);
}

void PeerConnections::onIncomingMessage(Wire::ConnectionId connection, Wire::Message message)
{
    Incoming& peer = this->incoming[connection];
    peer.lastReceived = this->clock.now();
    if (const auto* const hello = std::get_if<Wire::PeerHello>(&message)) {
        if (hello->protocol != Wire::protocolVersion) {
            logEvent(Event::PeerRefused, "", "process=" + hello->process + " reason=protocol");
            this->server.close(connection);
            return;
        }
        this->handleHello(peer, *hello);
        return;
    }
    if (peer.process.empty())
        return;
    if (const auto* const load = std::get_if<Wire::PeerLoad>(&message)) {
        this->applyLoad(*load);
        this->server.send(connection, Wire::Heartbeat {});
    } else if (auto* const loadUpdate = std::get_if<Wire::LoadUpdate>(&message)) {
        this->loadBroadcaster.onUpdate(peer.process, std::move(*loadUpdate));
    } else if (const auto* const query = std::get_if<Wire::StoreCacheQuery>(&message)) {
        this->server.send(connection, this->handlers.onQuery(*query));
    } else if (const auto* const update = std::get_if<Wire::StoreCacheReply>(&message)) {
        this->handlers.onReply(*update);
    } else if (const auto* const suspects = std::get_if<Wire::SuspectNotice>(&message)) {
        this->handlers.onSuspects(*suspects);
    } else if (const auto* const notice = std::get_if<Wire::UpstreamFailureNotice>(&message)) {
        this->handlers.onUpstreamFailure(*notice);
    } else if (const auto* const limits = std::get_if<Wire::UpstreamLimitNotice>(&message)) {
        this->handlers.onUpstreamLimits(*limits);
    } else if (const auto* const request = std::get_if<Wire::PermitRequest>(&message)) {
        this->handlers.onPermitRequest(peer.process, *request);
    } else if (const auto* const reply = std::get_if<Wire::PermitReply>(&message)) {
        this->handlers.onPermitReply(peer.process, *reply);
    } else if (const auto* const returned = std::get_if<Wire::PermitReturn>(&message)) {
        this->handlers.onPermitReturn(*returned);
    } else if (std::holds_alternative<Wire::PeerDeparture>(message)) {
        this->departedMembers.insert(peer.process);
    }
}

void PeerConnections::handleHello(Incoming& connection, const Wire::PeerHello& hello)
{
    connection.process = hello.process;
    this->departedMembers.erase(hello.process);
    Peer& peer = this->peers[hello.process];
    if (peer.incarnation != hello.incarnation)
        peer.lastNumber = 0;
    peer.incarnation = hello.incarnation;
    peer.address = hello.address;
    peer.candidate = { hello.process, hello.failureDomain, static_cast<double>(hello.cpuMillicores) / 1e3 };
    this->addMembers({ { hello.process, hello.address } });
    // A peer that connects is reachable again, so the reconnect delay is skipped.
    const auto found = this->outgoing.find(hello.address);
    if (found != this->outgoing.end() && found->second.connection == 0) {
        found->second.nextConnect = this->clock.now();
        found->second.failures = 0;
    }
    this->updateCandidate(peer);
}

void PeerConnections::applyLoad(const Wire::PeerLoad& load)
{
    const auto peer = this->peers.find(load.process);
    // A load relay may forward an update of an earlier incarnation, or one older than what the process sent directly.
    if (peer == this->peers.end() || peer->second.incarnation != load.incarnation
        || load.number <= peer->second.lastNumber)
        return;
    peer->second.lastNumber = load.number;
    this->handlers.onLoad(load);
}

void PeerConnections::onIncomingClosed(Wire::ConnectionId connection)
{
    const auto found = this->incoming.find(connection);
    if (found == this->incoming.end())
        return;
    const std::string process = found->second.process;
    this->incoming.erase(found);
    const bool hasOtherConnection
        = std::ranges::any_of(this->incoming, [&](const auto& entry) { return entry.second.process == process; });
    if (process.empty() || hasOtherConnection)
        return;
    this->loadRelays.remove(process);
    this->peers.erase(process);
    this->handlers.onPeerLost(process);
}

} // namespace Gateway
