#pragma once

#include "agentsettings.h"
#include "attempttable.h"
#include "claimkeeper.h"
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
     * @param context the context on which everything here runs; exactly one thread may run it.
     * @param clock the time source; must outlive the core.
     * @param settings the settings.
     */
    AgentCore(asio::io_context& context, const Foundation::Clock& clock, AgentSettings settings);
    ~AgentCore();

    /**
     * Starts to listen and to follow upstream, log and instance list.
     * @return nothing, or SettingsInvalid if the port cannot be used.
     */
    Foundation::Result<void> start();

    /** Takes no new work, lets what runs finish and then stops the context. */
    void shutDown();

    /** @return whether new work is taken. */
    bool isReady() const;

    /** @return all metrics in Prometheus' text format. */
    std::string renderMetrics();

private:
    // Messages of entries.
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

    // The way of an attempt.
    std::optional<Admission::Refusal> admit(const Wire::Offer& offer, Foundation::TimePoint deadline);
    void pump();
    void begin(const AttemptPtr& attempt);
    void claimOrHandOver(const AttemptPtr& attempt);
    void claim(const AttemptPtr& attempt);
    void onClaimDecision(const Idempotency::ClaimDecision& decision);
    void answerFromKept(const AttemptPtr& attempt, const Idempotency::StoredAnswer& kept);
    void handOver(const AttemptPtr& attempt);
    Platform::StreamHandlers streamHandlers(const AttemptPtr& attempt);
    void onAnswerHead(const AttemptPtr& attempt, int status, const std::string& contentType);
    void onAnswerData(const AttemptPtr& attempt, std::string_view data);
    void onCallEnd(const AttemptPtr& attempt, const Platform::HttpCallResult& result);
    void resumeAtUpstream(const AttemptPtr& attempt);
    void finish(const AttemptPtr& attempt);
    void refuse(const AttemptPtr& attempt, Foundation::ResultCode code, Foundation::RunOutcome outcome,
        Foundation::Duration retryAfter, std::string_view detail = {});
    void returnReservation(const AttemptPtr& attempt);
    void cancelAttempt(const AttemptPtr& attempt, Foundation::ResultCode reason);
    void cancelAtUpstream(const std::string& stream);
    void sendAnswer(const AttemptPtr& attempt);
    bool isCurrent(const AttemptPtr& attempt) const;
    void leaveUnread(const AttemptPtr& attempt);

    // The upstream.
    void onUpstreamRestarted(const std::string& endedGeneration);
    void onUpstreamChecked();
    void onUpstreamChanged();
    void listForeignStreams();
    void onUpstreamCold(std::string_view cause);
    void clearSuspicion(const AttemptPtr& attempt);

    // Configuration, state and time.
    void onConfiguration(const Platform::ActiveConfigurationPtr& configuration);
    void readInstanceList();
    void updateAvailability();
    Membership::Availability currentAvailability() const;
    void broadcast(const Wire::Message& message);
    void compareVersions(Wire::ConnectionId connection, std::uint64_t peerVersion);
    void tick();
    void checkDeadlines();
    void checkSilence();
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
    std::shared_ptr<ClaimKeeper> claims;
    std::shared_ptr<Platform::ConfigurationFollower> keeper;
    Platform::ActiveConfigurationPtr configuration;
    std::unique_ptr<Admission::AdmissionController> gate;
    Quarantine::SuspectRegistry suspects;
    AttemptTable attempts;
    EntrySessions sessions;
    Wire::ServerEndpoint endpoint;
    Outbox outbox;
    asio::steady_timer tickTimer;
    asio::steady_timer listTimer;
    Membership::Availability availability = Membership::Availability::NotReady;
    bool isEngine = true;
    bool streamsListed = false;
    bool listedAsLeaving = false;
    bool shuttingDown = false;
    bool stopping = false;
    int ticksSinceCleanup = 0;
    int checksSinceList = 0;
};

} // namespace Agent
