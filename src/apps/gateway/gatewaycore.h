#pragma once

#include "completionstore.h"
#include "crowdplacement.h"
#include "gatewaysettings.h"
#include "peerconnections.h"
#include "permitexchange.h"
#include "plannedstop.h"
#include "proxiedrequest.h"
#include "storesynchronizer.h"
#include "suspectstore.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <web/receiveguard.h>

#include <functional>
#include <map>
#include <memory>

namespace Gateway {

/**
 * Owns the components of a gateway process, apart from its listeners, and connects them. All calls must come on the
 * context's thread.
 */
class GatewayCore {
public:
    GatewayCore(asio::io_context& context, const GatewaySettings& settings);

    /** Starts to listen for peers and to read the store. @return SettingsInvalid if it cannot listen. */
    Foundation::Result<void> start();

    /** Serves a caller's request. */
    void serve(const std::shared_ptr<Web::HttpExchange>& exchange);

    /** Returns the limits and the memory for requests, which the listeners of the process share. */
    const std::shared_ptr<Web::ReceiveGuard>& receiveGuard() const { return this->callerGuard; }

    /** Returns whether the process accepts requests, for the readiness check of the load balancer. */
    bool isReady() const;

    /** Applies changed settings. Those that need a restart, such as listen addresses, stay as they are. */
    void reload(const GatewaySettings& settings);

    /**
     * Starts a graceful shutdown: the process is no longer ready, and callers' connections are closed after their next
     * answer.
     * @param onDone called when no request is in flight, or shortly before the platform would kill the process.
     */
    void shutDown(std::function<void()> onDone);

    /** Returns all metrics in the text format of Prometheus. */
    std::string renderMetrics();

private:
    void tick();
    /**
     * Returns whether this tick is so late that connections may hold data that was not read yet, which looks like
     * silence. Of two late ticks in a row the second one is not put off.
     */
    bool mustReadFirst();
    /** Does what is due at each tick. */
    void runDuties();
    void checkForSuspension();
    void onStoreCacheChanged();
    /** Schedules the queued prompts after a change of load. Added work is published at once. */
    void onLoadChanged(bool isAdded);
    void flushLoad();
    void broadcastUpstreamFailure(const Wire::UpstreamFailureNotice& notice);
    /** Records what an answer says of the limit of an upstream, and tells the other gateways what is new. */
    void onLimitInAnswer(
        const std::string& generation, std::optional<double> requestsPerSecond, Foundation::TimePoint sentAt);
    void onUpstreamLimits(const Wire::UpstreamLimitNotice& notice);
    /** Handles that the limit of an upstream is another one now. @param source who said so. */
    void onLimitChanged(const std::string& generation, std::string_view source);
    /** Merges the suspects of another gateway. */
    void onPeerSuspects(const Wire::SuspectNotice& notice);
    /** Tells the other gateways of crashes that this process observed, and stores them if they are repeated. */
    void onOwnSuspects(const std::vector<Quarantine::CrashNotice>& notices);
    /** Returns all notices and the requests that are known to be harmless, for a gateway that has just connected. */
    Wire::SuspectNotice makeSuspectSnapshot() const;
    void onExonerated(const std::string& fingerprint);
    void confirmCrashes();
    /** Handles that an upstream that was silent has gone on, so that it has not crashed. */
    void onSilenceEnded(const std::string& generation);
    /** Counts a silent upstream as crashed, since it has been silent for longer than a sound one. */
    void onSilentCrash(const Quarantine::WatchedAttempt& attempt);
    void checkWatchedAttempts();
    /** Tells the other gateways of the possible crashes that were recorded since the last call. */
    void flushPossibleCrashes();
    /** Raises the possible crashes of a generation to suspected ones. @return the raised ones. */
    std::vector<Quarantine::CrashNotice> suspectGeneration(const std::string& generation);
    void logSuspect(const Quarantine::CrashNotice& notice, std::string_view ending) const;
    void applyLimits();
    void applyCallerLimits();
    void exportReceiveMetrics();

    asio::io_context& context;
    GatewaySettings settings;
    Foundation::SteadyClock clock;
    Foundation::BootClock bootClock;
    Foundation::SystemWallClock wallClock;
    Foundation::MetricRegistry metrics;
    std::shared_ptr<Web::ReceiveGuard> callerGuard;
    SocketShares socketShares;
    Platform::HttpTransfers transfers;
    /** Apart from the calls to upstreams, so that these cannot take all connections. */
    Platform::HttpTransfers storeTransfers;
    PlatformAdapter::EngineOrders engineOrders;
    MemoryLeaseManager<PlatformAdapter::EngineOrders> memoryLeases;
    Placement::LoadLedger ledger;
    Relay::UpstreamHealth health;
    Relay::LocalRetryBudget retryBudget;
    Quarantine::SuspectRegistry suspects;
    Quarantine::SilenceWatch silenceWatch;
    Quarantine::PromptPartRegistry promptParts;
    Relay::AnswerMemory answerMemory;
    RateLimit::UpstreamLimits upstreamLimits;
    PeerConnections peers;
    PermitExchange permits;
    StoreSynchronizer storeSynchronizer;
    SuspectTopicWriter suspectWriter;
    SuspectStore suspectStore;
    CompletionStore completionStore;
    PartCrashStore partCrashStore;
    PartCrashExchange partCrashes;
    CrowdPlacement crowds;
    Dispatcher dispatcher;
    ProxyContext proxyContext;
    std::map<const ProxiedRequest*, std::shared_ptr<ProxiedRequest>> requests;
    asio::steady_timer tickTimer;
    Foundation::TimePoint nextTick {};
    /** Whether the duties of the last tick were put off. */
    bool isTickPutOff = false;
    bool isSchedulePending = false;
    Foundation::TimePoint lastLoadFlush {};
    Foundation::TimePoint nextFailureNotice {};
    Foundation::TimePoint nextCrashConfirmation {};
    std::vector<Quarantine::CrashNotice> unsentPossibleCrashes;
    Foundation::TimePoint nextPossibleCrashFlush {};
    Foundation::Duration totalSuspension {};
    PlannedStop plannedStop;
    Foundation::TimePoint lastRequestEnd {};
};

} // namespace Gateway
