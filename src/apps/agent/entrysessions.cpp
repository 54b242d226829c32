#include "entrysessions.h"

namespace Agent {

/**
 * @class EntrySessions
 * Stores the connections of entries to this agent and the time of their last message.
 */
EntrySessions::EntrySessions(const Foundation::Clock& clock, std::string token, Foundation::Duration timeout)
    : clock(clock)
    , token(std::move(token))
    , timeout(timeout)
{
}

void EntrySessions::open(Wire::ConnectionId connection) { this->unauthenticated[connection] = this->clock.now(); }

std::optional<Foundation::ResultCode> EntrySessions::authenticate(
    Wire::ConnectionId connection, const Wire::Hello& hello)
{
    if (hello.protocol != Wire::protocolVersion)
        return Foundation::ResultCode::ProtocolMismatch;
    if (hello.token != this->token)
        return Foundation::ResultCode::WrongToken;
    this->unauthenticated.erase(connection);
    this->sessions[connection] = { hello.entry, this->clock.now(), {} };
    return std::nullopt;
}

EntrySession* EntrySessions::find(Wire::ConnectionId connection)
{
    const auto found = this->sessions.find(connection);
    return found == this->sessions.end() ? nullptr : &found->second;
}

void EntrySessions::close(Wire::ConnectionId connection)
{
    this->sessions.erase(connection);
    this->unauthenticated.erase(connection);
}

std::vector<Wire::ConnectionId> EntrySessions::silentConnections() const
{
    const Foundation::TimePoint now = this->clock.now();
    std::vector<Wire::ConnectionId> list;
    for (const auto& [connection, session] : this->sessions) {
        if (now - session.lastReceivedAt >= this->timeout)
            list.push_back(connection);
    }
    for (const auto& [connection, opened] : this->unauthenticated) {
        if (now - opened >= this->timeout)
            list.push_back(connection);
    }
    return list;
}

std::vector<Wire::ConnectionId> EntrySessions::connections() const
{
    std::vector<Wire::ConnectionId> list;
    for (const auto& [connection, session] : this->sessions)
        list.push_back(connection);
    return list;
}

} // namespace Agent
