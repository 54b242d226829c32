#pragma once

#include <foundation/clock.h>
#include <membership/loadrelayselector.h>
#include <wire/messages.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/**
 * Broadcasts the load of this process to all other gateways. A small number of gateways send to each other directly. In
 * a larger fleet each failure domain has a load relay. It batches the updates of its domain peers for some ms and
 * forwards them to these peers and to the load relays of the other domains. The rate of messages that a gateway
 * receives then does not grow with the number of gateways.
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

private:
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
    Foundation::TimePoint lastFlush {};
    /** When another process last used this one as its load relay. */
    Foundation::TimePoint lastRelayRequest {};
};

} // namespace Gateway
