#pragma once

#include "loadspreader.h"

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <membership/relaychoice.h>
#include <wire/endpoint.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/**
 * Connections to the other gateways. Each gateway connects to every other one and tells it at intervals all that it has
 * under way; changes between go through relays. It asks on the same connections for what the store holds.
 */
class PeerMesh {
public:
    struct Handlers {
        /** Takes in what a peer has under way. */
        std::function<void(const Wire::PeerLoad&)> onLoad;
        /** Called when a peer tells nothing any more. */
        std::function<void(const std::string& peer)> onLost;
        std::function<Wire::KnowledgeReply(const Wire::KnowledgeQuery&)> onQuery;
        std::function<void(const Wire::KnowledgeReply&)> onReply;
        std::function<void(const Wire::SuspectNotice&)> onSuspects;
        std::function<void(const Wire::UpstreamNotice&)> onUpstreamNotice;
        /** @return everything this process has under way. */
        std::function<std::vector<Placement::UpstreamShare>()> wholeLoad;
        /** @return the suspects that this process knows. */
        std::function<Wire::SuspectNotice()> suspects;
        /** Called when the number of known gateways may have changed. */
        std::function<void()> onMembersChanged;
    };

    /**
     * @param self this process.
     * @param address where it takes connections of its peers.
     */
    PeerMesh(asio::io_context& context, const Foundation::Clock& clock, Membership::RelayCandidate self,
        std::string address, Handlers handlers);

    /** Starts to listen. @return nothing, or SettingsInvalid. */
    Foundation::Result<void> listen(std::string_view ip, std::uint16_t port);

    /** Sets the gateways that are known from elsewhere, by name. */
    void setMembers(const std::map<std::string, std::string>& addresses);

    /** Adds addresses of gateways whose names are not known. */
    void setSeeds(const std::vector<std::string>& addresses);

    /** Does what is due. */
    void tick();

    /** Sends a message to every connected peer. */
    void broadcast(const Wire::Message& message);

    /** Sends a message to every connected peer of this failure domain. */
    void tellNeighbours(const Wire::Message& message);

    /** Tells the other gateways what changed of what this process has under way. */
    void tellLoad(std::vector<Placement::UpstreamShare> changes);

    /** @return how long changes that are not urgent may wait, so that they are told together. */
    Foundation::Duration tellInterval() const;

    /** @return how many connected peers of this failure domain come before this process for work for others. */
    std::size_t rank() const;

    /** Asks one connected peer, another one each time. @return whether there is one. */
    bool ask(const Wire::KnowledgeQuery& query);

    /** @return the gateways that are known, this one included. */
    std::size_t memberCount() const;

    /** @return whether most of the known gateways are heard. */
    bool hearsMost() const;

    /** Drops the connections, which may be dead after a suspension of the machine. */
    void reset();

private:
    /** The connection that this process opened to a peer. */
    struct Outgoing {
        Wire::ConnectionId connection = 0;
        bool isOpen = false;
        Foundation::TimePoint lastHeard {};
        Foundation::TimePoint nextTry {};
        int failures = 0;
    };

    /** A connection that a peer opened. */
    struct Incoming {
        std::string process;
        Foundation::TimePoint lastHeard {};
    };

    /** A process that opened a connection and said who it is. */
    struct Peer {
        Membership::RelayCandidate candidate;
        std::string address;
        std::string run;
        /** The number of its newest load that was taken in. */
        std::uint64_t lastNumber = 0;
    };

    void connect(const std::string& address, Outgoing& outgoing);
    void onOutgoingOpen(Wire::ConnectionId connection);
    void onOutgoingMessage(Wire::ConnectionId connection, Wire::Message message);
    void onOutgoingClosed(Wire::ConnectionId connection);
    void onIncomingMessage(Wire::ConnectionId connection, Wire::Message message);
    void onIncomingClosed(Wire::ConnectionId connection);
    Outgoing* findOutgoing(Wire::ConnectionId connection, std::string* address = nullptr);
    void dropSilent(Foundation::TimePoint now);
    void takeHello(Incoming& connection, const Wire::PeerHello& hello);
    void takeLoad(const Wire::PeerLoad& load);
    /** Makes a peer a candidate for a relay if it can be reached both ways, and none otherwise. */
    void updateCandidate(const Peer& peer);
    void updateCandidateAt(std::string_view peerAddress);
    void sendTo(const std::string& process, const Wire::Message& message);
    Wire::PeerLoad loadOf(bool isComplete, std::vector<Placement::UpstreamShare> shares);
    Foundation::Duration heartbeatInterval() const;
    std::vector<Wire::ConnectionId> openConnections() const;

    const Foundation::Clock& clock;
    Membership::RelayCandidate self;
    std::string address;
    std::string run;
    Handlers handlers;
    Membership::RelayChoice relays;
    LoadSpreader spreader;
    std::uint64_t lastNumber = 0;
    std::map<std::string, std::string> members;
    std::map<std::string, Peer, std::less<>> peers;
    std::map<std::string, Outgoing> outgoing;
    std::map<Wire::ConnectionId, Incoming> incoming;
    Foundation::TimePoint nextHeartbeat {};
    std::size_t lastAsked = 0;
    Wire::ServerEndpoint server;
    Wire::ClientEndpoint client;
};

} // namespace Gateway
