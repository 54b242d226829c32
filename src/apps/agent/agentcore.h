#pragma once

#include "agentsettings.h"
#include "attempttable.h"
#include "claimservice.h"
#include "entrysessions.h"
#include "outbox.h"
#include "upstreamclient.h"
#include "upstreammonitor.h"

#include <admission/admissioncontroller.h>
#include <foundation/metrics.h>
#include <platform/configurationfollower.h>
#include <platform/instancelistclient.h>
#include <quarantine/suspectregistry.h>
#include <wire/endpoint.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace Agent {

class AgentCore {
public:
    /**
     * @param context runs all handlers of the agent; exactly one thread may run it.
     * @param clock the time source; must outlive the core.
     */
    AgentCore(asio::io_context& context, const Foundation::Clock& clock, AgentSettings settings);
    ~AgentCore();

    /**
     * Starts to listen for entries and to follow the upstream, the log and the instance list.
     * @return nothing, or SettingsInvalid if the port cannot be used.
     */
    Foundation::Result<void> start();

    /** Accepts no more requests, waits until the current attempts have ended and then stops the context. */
    void shutDown();

    /** Returns whether the agent accepts requests. */
    bool isReady() const;

    /** Returns all metrics in the text format of Prometheus. */
    std::string renderMetrics();

private:
    // Messages from entries.
    void onMessage(Wire::ConnectionId connection, Wire::Message message);
    void onClosed(Wire::ConnectionId connection);
    void handle(Wire::ConnectionId connection, const Wire::Hello& hello);
    void handle(Wire::ConnectionId connection, const Wire::Heartbeat& heartbeat);
    void handle(Wire::ConnectionId connection, const Wire::ConfigurationRequest& request);
    void handle(Wire::ConnectionId connection, const Wire::ConfigurationDifference& difference);
    void handle(Wire::ConnectionId connection, const Wire::SuspectNotice& notice);
    void handle(Wire::ConnectionId connection, Wire::Offer& offer);
    void handle(Wire::ConnectionId connection, Wire::BodyChunk& chunk);
    void handle(Wire::ConnectionId connection, const Wire::Cancel& cancel);
    void handle(Wire::ConnectionId connection, const Wire::Revoke& revoke);
    void handle(Wire::ConnectionId connection, const Wire::Resume& resume);
    template <typename Other> void handle(Wire::ConnectionId connection, const Other& other);

    // Admission of an attempt: queue, body, claim, dispatch.
    std::optional<Admission::Refusal> admit(const Wire::Offer& offer, Foundation::TimePoint deadline);
    void processQueue();
    void collectBody(const AttemptPtr& attempt);
    void claimOrDispatch(const AttemptPtr& attempt);
    void requestClaim(const AttemptPtr& attempt);
    void onClaimDecision(const Idempotency::ClaimDecision& decision);
    void sendStoredAnswer(const AttemptPtr& attempt, const Idempotency::StoredAnswer& stored);
    void dispatch(const AttemptPtr& attempt);

    // The answer of the upstream.
    Platform::StreamHandlers makeStreamHandlers(const AttemptPtr& attempt);
    void onAnswerHead(const AttemptPtr& attempt, const Platform::HttpAnswerHead& head);
    void onAnswerData(const AttemptPtr& attempt, std::string_view data);
    void onCallEnd(const AttemptPtr& attempt, const Platform::HttpCallResult& result);
    void resumeAtUpstream(const AttemptPtr& attempt);

    // The end of an attempt: completion, refusal or cancellation.
    void finish(const AttemptPtr& attempt);
    void refuse(const AttemptPtr& attempt, Foundation::ResultCode code, Foundation::RunOutcome outcome,
        Foundation::Duration retryAfter, std::string_view detail = {});
    void releaseReservation(const AttemptPtr& attempt);
    void cancelAttempt(const AttemptPtr& attempt, Foundation::ResultCode reason);
    /** Ends a dispatched attempt here and at the upstream. */
    void abortDispatched(const AttemptPtr& attempt, Foundation::ResultCode reason);
    void cancelAtUpstream(const std::string& stream);
    void sendAnswer(const AttemptPtr& attempt);
    bool isRunning(const AttemptPtr& attempt) const;
    void detachFromEntry(const AttemptPtr& attempt);

    // Health, generation and streams of the upstream.
    void onUpstreamGenerationEnded(const std::string& endedGeneration);
    void onUpstreamChecked();
    void onUpstreamChanged();
    void cancelForeignStreams();
    void onUpstreamCold(std::string_view cause);
    void clearSuspicion(const AttemptPtr& attempt);

    // Configuration, availability and periodic checks.
    void onConfiguration(const Platform::ActiveConfigurationPtr& configuration);
    void readInstanceList();
    void updateAvailability();
    Membership::Availability currentAvailability() const;
    void broadcast(const Wire::Message& message);
    void requestConfigurationIfBehind(Wire::ConnectionId connection, std::uint64_t peerVersion);
    void tick();
    void cancelExpiredAttempts();
    void closeSilentConnections();
    void stopWhenIdle();

    asio::io_context& context;
    const Foundation::Clock& clock;
    AgentSettings settings;
    std::string incarnation;
    Foundation::MetricRegistry metrics;
    Platform::HttpTransfers transfers;
    Platform::LogClient log;
    Platform::InstanceListClient instanceList;
    UpstreamClient upstream;
    std::shared_ptr<UpstreamMonitor> monitor;
    std::shared_ptr<ClaimService> claims;
    std::shared_ptr<Platform::ConfigurationFollower> configurationFollower;
    Platform::ActiveConfigurationPtr configuration;
    /** Null until a configuration contains the upstream. */
    std::unique_ptr<Admission::AdmissionController> admission;
    Quarantine::SuspectRegistry suspects;
    Relay::AnswerMemory answerMemory;
    /** The fingerprints of cancelled prompts whose cancellation the engine has not acknowledged, by stream. */
    std::map<std::string, std::string> unacknowledgedCancels;
    AttemptTable attempts;
    EntrySessions sessions;
    Wire::ServerEndpoint endpoint;
    Outbox outbox;
    asio::steady_timer tickTimer;
    asio::steady_timer instanceListTimer;
    Membership::Availability availability = Membership::Availability::NotReady;
    /** Whether the upstream is an engine, with streams and token memory, and not a service. */
    bool isEngine = true;
    /** Whether the engine's streams were listed since the last end of a generation. */
    bool areStreamsListed = false;
    /** Whether the instance list marks the agent's own instance as draining. */
    bool isListedAsDraining = false;
    bool isShuttingDown = false;
    bool isStopping = false;
    int ticksSinceCleanup = 0;
    int checksSinceStreamList = 0;
};

} // namespace Agent
