#pragma once

#include "agentlink.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Entry {

/** Handlers for the events of all connections. */
struct LinkPoolHandlers {
    /** Called when an agent has accepted a connection. */
    std::function<void(const AgentLinkPtr&)> onWelcomed;
    /** Called when a connection that the agent had accepted was lost. */
    std::function<void(const AgentLinkPtr&)> onDisconnected;
    /** Called with each message that belongs to no attempt. */
    std::function<void(const AgentLinkPtr&, Wire::Message)> onControlMessage;
    /** Called on the thread of the connection, so that a notice takes effect before the messages that follow it. */
    std::function<void(const Wire::SuspectNotice&)> onSuspects;
    /** Returns the first message for a new connection. */
    std::function<Wire::Hello()> makeHello;
};

class LinkPool {
public:
    /**
     * @param control the context of the control thread.
     * @param workers the context whose threads run the connections.
     * @param clock the time source; must outlive the pool.
     * @param handlers called on the control thread, except for onSuspects and makeHello.
     */
    LinkPool(asio::io_context& control, asio::io_context& workers, const Foundation::Clock& clock,
        LinkPoolHandlers handlers);

    /**
     * Sets the instances to connect to. The link of an instance that is no longer among them is removed once its
     * connection has ended.
     */
    void setTargets(const std::vector<Membership::Instance>& instances);

    /**
     * Sends heartbeats, closes connections that have timed out and reconnects.
     * @param version the configuration version in force, sent with the heartbeats.
     * @param timeout how long an agent may send nothing before its connection is closed.
     */
    void maintain(std::uint64_t version, Foundation::Duration timeout);

    /** Sends a message to every agent that has accepted its connection. */
    void broadcast(const Wire::Message& message);

    std::vector<AgentLinkPtr> links() const;

    /** Returns the number of messages that arrived for attempts that had ended. */
    std::uint64_t strayMessages() const { return this->strayMessageCount.load(); }

private:
    AgentLinkPtr findByConnection(Wire::ConnectionId connection) const;
    void onOpen(Wire::ConnectionId connection);
    void onMessage(Wire::ConnectionId connection, Wire::Message message);
    void onClosed(Wire::ConnectionId connection);
    void onWelcome(const AgentLinkPtr& link, const Wire::Welcome& welcome);
    void connect(const AgentLinkPtr& link);
    void dropConnection(const AgentLinkPtr& link, Wire::ConnectionId connection);

    asio::io_context& control;
    const Foundation::Clock& clock;
    LinkPoolHandlers handlers;
    Wire::ClientEndpoint endpoint;
    mutable std::mutex mutex;
    std::map<Wire::ConnectionId, AgentLinkPtr> linksByConnection;
    /** By instance id. Used by the control thread only. */
    std::map<std::string, AgentLinkPtr> linksByInstance;
    std::atomic<std::uint64_t> strayMessageCount { 0 };
};

} // namespace Entry
