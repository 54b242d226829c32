#pragma once

#include <foundation/clock.h>
#include <membership/relaychoice.h>
#include <wire/messages.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/**
 * Brings what this process has under way to all other gateways. A few gateways tell each other directly. In a larger
 * fleet each failure domain has a relay: it gathers what its neighbours tell for some ms and passes it on to them and
 * to the relays of the other domains, so that what a gateway has to read grows with time and not with the gateways.
 */
class LoadSpreader {
public:
    struct Handlers {
        /** Sends news to one process. */
        std::function<void(const std::string& process, const Wire::LoadNews&)> send;
        /** Sends news to all processes of this failure domain, or to all processes at all. */
        std::function<void(const Wire::LoadNews&, bool isForNeighbours)> broadcast;
        /** Takes in what another process has under way. */
        std::function<void(const Wire::PeerLoad&)> onLoad;
    };

    /**
     * @param self this process.
     * @param choice tells the relays; must outlive the spreader.
     */
    LoadSpreader(const Foundation::Clock& clock, Membership::RelayCandidate self, Membership::RelayChoice& choice,
        Handlers handlers);

    /** Tells what changed here. */
    void tell(Wire::PeerLoad load);

    /** Takes news in and passes them on as their scope says. */
    void onNews(std::string_view sender, Wire::LoadNews news);

    /** Passes on what is due. */
    void tick();

    /** @return whether so few gateways are known that they tell each other directly. */
    bool isDirect() const;

private:
    bool isRelay(Foundation::TimePoint now);
    void flushIfDue(Foundation::TimePoint now);
    void flush(Foundation::TimePoint now);

    const Foundation::Clock& clock;
    Membership::RelayCandidate self;
    Membership::RelayChoice& choice;
    Handlers handlers;
    /** News of this failure domain and of others, not passed on yet. */
    std::vector<Wire::PeerLoad> ofDomain;
    std::vector<Wire::PeerLoad> ofOthers;
    Foundation::TimePoint lastFlush {};
    /** When a process last took this one for its relay. */
    Foundation::TimePoint lastAskedToRelay {};
};

} // namespace Gateway
