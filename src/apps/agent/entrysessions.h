#pragma once

#include <foundation/clock.h>
#include <wire/endpoint.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Agent {

/** The connection of an authenticated entry. */
struct EntrySession {
    std::string entry;
    Foundation::TimePoint lastReceivedAt;
    /** The load that was last sent in answer to a heartbeat. */
    Membership::UpstreamLoad lastSentLoad;
};

class EntrySessions {
public:
    /**
     * @param clock the time source; must outlive the sessions.
     * @param token the authentication token that entries must present.
     * @param timeout the time without a message after which a connection counts as silent.
     */
    EntrySessions(const Foundation::Clock& clock, std::string token, Foundation::Duration timeout);

    /** Records a new connection, which is not authenticated yet. */
    void open(Wire::ConnectionId connection);

    /**
     * Checks the protocol version and the token of an entry and creates its session.
     * @return nothing, or the reason why the entry is refused.
     */
    std::optional<Foundation::ResultCode> authenticate(Wire::ConnectionId connection, const Wire::Hello& hello);

    /** Returns the session of a connection, or nullptr if the connection is not authenticated. */
    EntrySession* find(Wire::ConnectionId connection);

    /** Removes a connection and its session. */
    void close(Wire::ConnectionId connection);

    /** Returns the connections that received no message for the timeout, or did not authenticate within it. */
    std::vector<Wire::ConnectionId> silentConnections() const;

    /** Returns the connections of all authenticated entries. */
    std::vector<Wire::ConnectionId> connections() const;

private:
    const Foundation::Clock& clock;
    std::string token;
    Foundation::Duration timeout;
    std::map<Wire::ConnectionId, EntrySession> sessions;
    std::map<Wire::ConnectionId, Foundation::TimePoint> unauthenticated;
};

} // namespace Agent
