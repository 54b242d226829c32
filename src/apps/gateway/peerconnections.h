#pragma once

#include "loadbroadcaster.h"

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <membership/loadrelayselector.h>
#include <wire/endpoint.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/**
 * Manages the connections to the other gateways. Each gateway connects to every other one and sends it the full load at
 * intervals, which grow with a large fleet; changes in between go through load relays. Queries for the cached state of
 * the store use the same connections.
 */
class PeerConnections {
public:
    struct Handlers {
        /** Called with the load of a peer. */
        std::function<void(const Wire::PeerLoad&)> onLoad;
        /** Called when the last connection that a peer opened was closed, so that it sends no more updates. */
        std::function<void(const std::string& peer)> onPeerLost;
        /** Returns the answer to a peer's query. */
        std::function<Wire::StoreCacheReply(const Wire::StoreCacheQuery&)> onQuery;
        /** Called with the store records of a peer's answer, or of an update that a domain peer published. */
        std::function<void(const Wire::StoreCacheReply&)> onReply;
        std::function<void(const Wire::SuspectNotice&)> onSuspects;
        std::function<void(const Wire::UpstreamFailureNotice&)> onUpstreamFailure;
        std::function<void(const Wire::UpstreamLimitNotice&)> onUpstreamLimits;
        std::function<void(const std::string& peer, const Wire::PermitRequest&)> onPermitRequest;
        std::function<void(const std::string& peer, const Wire::PermitReply&)> onPermitReply;
        std::function<void(const Wire::PermitReturn&)> onPermitReturn;
        /** Returns the load of this process at all upstreams. */
        std::function<std::vector<Placement::UpstreamUsage>()> fullLoad;
        /** Returns the suspects that are registered in this process. */
        std::function<Wire::SuspectNotice()> suspects;
        /** Returns the limits of upstreams that are known in this process. */
        std::function<Wire::UpstreamLimitNotice()> upstreamLimits;
        /** Returns the gateway at which this process gets permits; empty if it needs none. */
        std::function<std::string()> permitIssuer;
        /** Called when memberCount() may have changed. */
        std::function<void()> onMembersChanged;
    };

    /** @param address where this process accepts connections of its peers. */
    PeerConnections(asio::io_context& context, const Foundation::Clock& clock, Membership::LoadRelayCandidate self,
        std::string address, Handlers handlers);

    /** Starts to listen. @return SettingsInvalid if the address cannot be used. */
    Foundation::Result<void> listen(std::string_view ip, std::uint16_t port);

    /** Adds gateways and their addresses, by process name. Gateways that are not in the list stay members. */
    void addMembers(const std::map<std::string, std::string>& addresses);

    /** Adds addresses of gateways without their names, from the settings. */
    void addSeeds(const std::vector<std::string>& addresses);

    /** Opens and closes connections and sends the heartbeats and updates that are due. */
    void tick();

    /** Sends a message to one peer; does nothing if it is not connected. */
    void sendTo(const std::string& process, const Wire::Message& message);

    /** Sends a message to every connected peer. */
    void broadcast(const Wire::Message& message);

    /** Sends a message to every connected peer of this failure domain. */
    void sendToDomainPeers(const Wire::Message& message);

    /** Sends changes of this process's load to the other gateways. */
    void publishLoad(std::vector<Placement::UpstreamUsage> changes);

    /** Returns how long changes that are not urgent may wait, so that they are sent together. */
    Foundation::Duration loadFlushInterval() const;

    /** Returns how many connected peers of this failure domain precede this process as store reader or load relay. */
    std::size_t domainRank() const;

    /** Sends a query to one connected peer, in turn. @return false if none is connected. */
    bool sendQuery(const Wire::StoreCacheQuery& query);

    /** Returns the number of listed gateways, including this one. */
    std::size_t memberCount() const;

    /** Returns how many listed gateways precede this one in the order of their names. */
    std::size_t memberRank() const;

    /** Returns the number of listed gateways, including this one, without those that have said that they stop. */
    std::size_t presentMemberCount() const;

    /** Returns the gateways that are connected in both directions, and this one. */
    std::vector<Membership::LoadRelayCandidate> reachableGateways() const;

    /** Returns whether so many of the listed gateways are connected that their load counts as the whole load. */
    bool isMajorityConnected() const;

    /** Closes all outgoing connections, which may be dead after a suspension of the machine. */
    void closeOutgoing();

private:
    /** The connection that this process opened to a peer. */
    struct Outgoing {
        Wire::ConnectionId connection = 0;
        bool isOpen = false;
        Foundation::TimePoint lastReceived {};
        Foundation::TimePoint nextConnect {};
        int failures = 0;
    };

    /** A connection that a peer opened. */
    struct Incoming {
        std::string process;
        Foundation::TimePoint lastReceived {};
    };

    /** A process that opened a connection and sent its hello. */
    struct Peer {
        Membership::LoadRelayCandidate candidate;
        std::string address;
        std::string incarnation;
        /** The number of its newest load update that was applied. */
        std::uint64_t lastNumber = 0;
    };

    void connect(const std::string& address, Outgoing& outgoing);
    void onOutgoingOpen(Wire::ConnectionId connection);
    void onOutgoingMessage(Wire::ConnectionId connection, Wire::Message message);
    void onOutgoingClosed(Wire::ConnectionId connection);
    void onIncomingMessage(Wire::ConnectionId connection, Wire::Message message);
    void onIncomingClosed(Wire::ConnectionId connection);
    Outgoing* findOutgoing(Wire::ConnectionId connection, std::string* address = nullptr);
    void closeSilentConnections(Foundation::TimePoint now);
    void handleHello(Incoming& connection, const Wire::PeerHello& hello);
    void applyLoad(const Wire::PeerLoad& load);
    /** Adds a peer to the load relay candidates if it is connected both ways, and removes it otherwise. */
    void updateCandidate(const Peer& peer);
    void updateCandidateAt(std::string_view peerAddress);
    Wire::PeerLoad makeLoad(bool isComplete, std::vector<Placement::UpstreamUsage> usages);
    Foundation::Duration heartbeatInterval() const;
    /** Sends the complete load to all peers, or in a large fleet to some of them, and an empty one to the others. */
    void sendHeartbeats();
    std::vector<Wire::ConnectionId> openConnections() const;

    const Foundation::Clock& clock;
    Membership::LoadRelayCandidate self;
    std::string address;
    std::string incarnation;
    Handlers handlers;
    Membership::LoadRelaySelector loadRelays;
    LoadBroadcaster loadBroadcaster;
    std::uint64_t lastNumber = 0;
    /** The addresses of the listed gateways, by process name. */
    std::map<std::string, std::string> members;
    /** The listed gateways that have said that they stop, and have not connected since. */
    std::set<std::string> departedMembers;
    /** The peers with an incoming connection, by process name. */
    std::map<std::string, Peer, std::less<>> peers;
    /** By address of the peer. */
    std::map<std::string, Outgoing> outgoing;
    std::map<Wire::ConnectionId, Incoming> incoming;
    Foundation::TimePoint nextHeartbeat {};
    /** The number of heartbeats sent; selects the peers that get the complete load. */
    std::size_t heartbeatCount = 0;
    /** The number of queries sent; selects the peer of the next one. */
    std::size_t queryCount = 0;
    Wire::ServerEndpoint server;
    Wire::ClientEndpoint client;
};

} // namespace Gateway
