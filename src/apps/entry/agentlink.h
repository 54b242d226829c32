#pragma once

#include <foundation/clock.h>
#include <membership/instance.h>
#include <membership/upstreamload.h>
#include <wire/endpoint.h>

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Entry {

/** Receives the messages of one attempt and the changes of the connection that it uses. */
class AttemptListener {
public:
    virtual ~AttemptListener() = default;

    /** Called with each message of the attempt. */
    virtual void onAttemptMessage(const std::string& attempt, Wire::Message message) = 0;

    /** Called when the connection to the agent was lost. */
    virtual void onLinkLost(const std::string& attempt) = 0;

    /** Called when the agent is connected again. Another incarnation means that the agent process has restarted. */
    virtual void onLinkRestored(const std::string& attempt, const std::string& incarnation) = 0;
};

class AgentLink {
public:
    AgentLink(Membership::Instance instance, Wire::ClientEndpoint& endpoint);

    const Membership::Instance& instance() const { return this->listedInstance; }

    /** Sets the current connection; 0 if there is none. */
    void setConnection(Wire::ConnectionId connection);
    Wire::ConnectionId connection() const { return this->currentConnection.load(std::memory_order_acquire); }

    /** Marks the connection as accepted by the agent and notifies the attempts that wait for it. */
    void setWelcomed(const std::string& incarnation, const Membership::UpstreamLoad& load);
    /** Returns whether the agent has accepted the current connection by answering Hello with Welcome. */
    bool isWelcomed() const { return this->welcomed.load(std::memory_order_acquire); }

    /** Marks the agent as disconnected and not ready, and notifies its attempts. */
    void setDisconnected();

    /** Returns the incarnation of the agent process that accepted the last connection. */
    std::string incarnation() const;

    /** Stores a load report of the agent and resets the counters of unreported requests and tokens. */
    void setLoad(const Membership::UpstreamLoad& load);
    Membership::UpstreamLoad load() const;

    /** Returns the number of requests that this entry sent since the last load report. */
    std::int64_t unreportedRequests() const { return this->requestsSinceReport.load(std::memory_order_relaxed); }
    /** Returns the number of prompt tokens that this entry sent since the last load report. */
    std::int64_t unreportedTokens() const { return this->tokensSinceReport.load(std::memory_order_relaxed); }

    /**
     * Registers the listener of an attempt.
     * @param tokens the estimated prompt tokens, counted as unreported until the next load report.
     */
    void addAttempt(const std::string& attempt, std::weak_ptr<AttemptListener> listener, std::int64_t tokens);
    void removeAttempt(const std::string& attempt);

    /** Passes a message to the listener of its attempt. Returns false if the attempt has none any more. */
    bool notifyListener(const std::string& attempt, Wire::Message message);

    /** Sends a message to the agent; does nothing while there is no connection. */
    void send(const Wire::Message& message);

    /** Sets when the last message of the agent arrived, or when the connection was opened. */
    void setLastReceiveTime(Foundation::TimePoint time) { this->lastReceive.store(time, std::memory_order_relaxed); }
    Foundation::TimePoint lastReceiveTime() const { return this->lastReceive.load(std::memory_order_relaxed); }

    void setPeerVersion(std::uint64_t version)
    {
        this->peerConfigurationVersion.store(version, std::memory_order_relaxed);
    }
    /** Returns the configuration version that the agent reported last. */
    std::uint64_t peerVersion() const { return this->peerConfigurationVersion.load(std::memory_order_relaxed); }

private:
    std::map<std::string, std::shared_ptr<AttemptListener>> listeners() const;

    static constexpr std::size_t loadFieldCount = 10;

    const Membership::Instance listedInstance;
    Wire::ClientEndpoint& endpoint;
    std::atomic<Wire::ConnectionId> currentConnection { 0 };
    std::atomic<bool> welcomed { false };
    std::array<std::atomic<std::int64_t>, loadFieldCount> loadFields {};
    std::atomic<std::int64_t> requestsSinceReport { 0 };
    std::atomic<std::int64_t> tokensSinceReport { 0 };
    std::atomic<Foundation::TimePoint> lastReceive { Foundation::TimePoint() };
    std::atomic<std::uint64_t> peerConfigurationVersion { 0 };
    mutable std::mutex mutex;
    std::string currentIncarnation;
    std::map<std::string, std::weak_ptr<AttemptListener>> attempts;
};

using AgentLinkPtr = std::shared_ptr<AgentLink>;

} // namespace Entry
