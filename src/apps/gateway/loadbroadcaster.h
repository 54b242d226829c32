#pragma once

#include <foundation/clock.h>
#include <membership/loadrelayselector.h>
#include <wire/messages.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Gateway {

/**
 * Broadcasts the load of this process to all other gateways. A small number of gateways send to each other directly. In
 * a larger fleet each failure domain has a load relay. It batches the updates of its domain peers for some ms and
 * forwards them to these peers and to the load relays of the other domains. The rate of messages that a gateway
 * receives then does not grow with the number of gateways. In a fleet of more than a hundred, each failure domain is
 * divided into groups with a load relay each, which spreads the cost of forwarding over many gateways.
 */
class LoadBroadcaster {
public:
    struct Handlers {
        /** Sends an update to one process. */
        std::function<void(const std::string& process, const Wire::LoadUpdate&)> send;
        /** Sends an update to all processes of this failure domain, or to all processes. */
        std::function<void(const Wire::LoadUpdate&, bool isDomainOnly)> broadcast;
        /** Called with the load of another process. */
        std::function<void(const Wire::PeerLoad&)> onLoad;
    };

    /** @param relaySelector the load relays of the failure domains; must outlive this object. */
    LoadBroadcaster(const Foundation::Clock& clock, Membership::LoadRelayCandidate self,
        Membership::LoadRelaySelector& relaySelector, Handlers handlers);

    /** Sends a change of this process's load. */
    void publish(Wire::PeerLoad load);

    /** Handles a received update and queues it for forwarding as its scope demands. */
    void onUpdate(std::string_view sender, Wire::LoadUpdate update);

    /** Sends the batched updates that are due. */
    void tick();

    /** Returns whether there are so few gateways that they send to each other without load relays. */
    bool sendsDirectly() const;

    /**
     * Returns after how many heartbeats a peer gets the complete load again. The changes say the same, unless one is
     * lost.
     */
    std::size_t completeLoadRounds() const;

private:
    /** Loads that were sent to a load relay, which may have failed before it forwarded them. */
    class SentLoads {
    public:
        void add(Foundation::TimePoint now, const std::vector<Wire::PeerLoad>& loads);
        /** Returns the loads of the time in which a failed load relay can go unnoticed. */
        std::vector<Wire::PeerLoad> recent(Foundation::TimePoint now);

    private:
        std::deque<std::pair<Foundation::TimePoint, Wire::PeerLoad>> loads;
    };

    /** The load relay of a failure domain that has all that was sent before. */
    struct RelayInUse {
        std::string process;
        Foundation::TimePoint lastResend {};
    };

    std::size_t processCount() const;
    /** Returns whether the failure domains are divided into groups. */
    bool hasGroups() const;
    std::size_t groupCount() const;
    Foundation::Duration batchInterval() const;
    /** Selects the load relay of this process's group in a failure domain. */
    std::string selectRelay(std::string_view failureDomain, Foundation::TimePoint now);
    /** Sends an update to a load relay, and what its predecessor may not have forwarded if it replaces one. */
    void sendToRelay(
        const std::string& failureDomain, Wire::LoadUpdate update, SentLoads& sent, Foundation::TimePoint now);
    /** Sends recent changes of this process again if its load relay was replaced. */
    void resendIfReplaced(Foundation::TimePoint now);
    /** Returns whether a load relay was replaced, and the last time was long enough ago to send again. */
    static bool isResendDue(const RelayInUse& inUse, std::string_view relay, Foundation::TimePoint now);
    bool isLoadRelay(Foundation::TimePoint now);
    void flushIfDue(Foundation::TimePoint now);
    void flush(Foundation::TimePoint now);

    const Foundation::Clock& clock;
    Membership::LoadRelayCandidate self;
    Membership::LoadRelaySelector& relaySelector;
    Handlers handlers;
    /** Updates from this failure domain, to be sent to its processes and to the other load relays. */
    std::vector<Wire::PeerLoad> domainLoads;
    /** Updates from the load relays of other failure domains, to be sent to the processes of this one. */
    std::vector<Wire::PeerLoad> otherDomainLoads;
    /** Changes of this process. */
    SentLoads publishedLoads;
    /** What this process has forwarded as load relay, by failure domain. */
    std::map<std::string, SentLoads, std::less<>> forwardedLoads;
    /** The load relays in use, by failure domain. */
    std::map<std::string, RelayInUse, std::less<>> relaysInUse;
    Foundation::TimePoint lastFlush {};
    /** When another process last used this one as its load relay. */
    Foundation::TimePoint lastRelayRequest {};
};

} // namespace Gateway
