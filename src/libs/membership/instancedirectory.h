#pragma once

#include "instance.h"
#include "upstreamload.h"

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Membership {

/** The state of the entry's connection to an agent. */
enum class LinkState : std::uint8_t {
    Disconnected,
    Connected,
};

/** The state of one instance as seen by an entry: its entry in the platform's list and the entry's own connection. */
struct InstanceView {
    Instance instance;
    LinkState link = LinkState::Disconnected;
    /** The availability that the agent reports; none before its first report on this connection. */
    std::optional<Availability> reported;

    /** @return whether the instance is connected, not listed as draining, and reports that it is available. */
    bool acceptsRequests() const;
};

/**
 * Tracks the instances known to an entry. The platform's list can be late, empty or unavailable, so the state of the
 * entry's own connections takes precedence: a list never removes a connected instance.
 */
class InstanceDirectory {
public:
    /**
     * Merges a response of the platform's instance list. An empty response changes nothing. An instance that the
     * response lacks stays while it is connected, and is otherwise removed after three such responses in a row.
     */
    void applyList(std::span<const Instance> listed);

    /** Sets the state of the connection to an agent. A lost connection also clears the reported availability. */
    void setLinkState(std::string_view instance, LinkState state);

    /** Sets the availability that an agent reports for its instance. */
    void setReportedAvailability(std::string_view instance, Availability availability);

    /** @return all instances, ordered by identifier. */
    std::vector<InstanceView> view() const;

    /** @return the number of known instances of an upstream. */
    std::int64_t countForUpstream(std::string_view upstream) const;

private:
    struct Member {
        InstanceView view;
        /** The number of consecutive lists that lacked the instance. */
        int absences = 0;
    };

    void removeAbsent();

    std::map<std::string, Member, std::less<>> members;
};

} // namespace Membership
