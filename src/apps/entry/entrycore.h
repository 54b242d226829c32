#pragma once

#include "entrysettings.h"
#include "linkpool.h"
#include "proxiedrequest.h"
#include "requesttrace.h"
#include "routingtable.h"

#include <foundation/metrics.h>
#include <foundation/rcucell.h>
#include <membership/instancedirectory.h>
#include <platform/configurationfollower.h>
#include <platform/instancelistclient.h>
#include <quarantine/suspectregistry.h>
#include <routing/retrybudget.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Entry {

class EntryCore {
public:
    /**
     * @param control the context of the control thread; exactly one thread may run it.
     * @param workers the context whose threads serve requests.
     * @param clock the time source; must outlive the core.
     */
    EntryCore(
        asio::io_context& control, asio::io_context& workers, const Foundation::Clock& clock, EntrySettings settings);
    ~EntryCore();

    void start();

    /**
     * Starts a graceful shutdown: new requests are refused, and those in flight complete.
     * @param onIdle called on the control thread when no request is in flight.
     */
    void shutDown(std::function<void()> onIdle);

    /** Returns whether the entry accepts requests, for the readiness check. */
    bool isReady() const;

    bool isShuttingDown() const { return this->shuttingDown.load(std::memory_order_acquire); }

    /** Returns all metrics in the text format of Prometheus. */
    std::string renderMetrics();

    /** Returns the state of this entry and of its agents as JSON text. */
    std::string renderStatus() const;

    ProxyContext& proxyContext() { return this->sharedContext; }
    std::shared_ptr<const RoutingTable> routingTable() const { return this->table.read(); }
    const EntrySettings& entrySettings() const { return this->settings; }

private:
    void onConfiguration(const Platform::ActiveConfigurationPtr& active);
    void onControlMessage(const AgentLinkPtr& link, const Wire::Message& message);
    void onSuspects(const Wire::SuspectNotice& notice);
    void onWelcomed(const AgentLinkPtr& link);
    /** Records the configuration version of an agent and requests its configuration if that is newer. */
    void handlePeerVersion(const AgentLinkPtr& link, std::uint64_t peerVersion);
    void pollInstanceList();
    void updateTargets();
    void publishRoutingTable();
    void publishSuspectTable();
    void maintainLinks();
    /** Polls until no request is in flight and then calls onIdle. */
    void waitUntilIdle();
    std::shared_ptr<Routing::TokenEstimator> estimatorFor(const Configuration::ModelDefinition& model);
    Route routeFor(const std::vector<std::string>& upstreams) const;

    asio::io_context& control;
    EntrySettings settings;
    std::string entryId;
    Foundation::MetricRegistry metrics;
    Foundation::RcuCell<RoutingTable> table;
    Foundation::RcuCell<SuspectTable> suspectTable;
    Routing::RetryBudget retryBudget;
    RequestTraces traces;
    std::atomic<std::int64_t> activeRequests { 0 };
    std::atomic<bool> shuttingDown { false };
    std::atomic<std::uint64_t> versionInForce { 0 };
    Relay::AnswerMemory answerMemory;
    ProxyContext sharedContext;
    Platform::HttpTransfers transfers;
    Platform::LogClient log;
    Platform::InstanceListClient instanceList;
    std::shared_ptr<Platform::ConfigurationFollower> configurationFollower;
    Platform::ActiveConfigurationPtr configuration;
    Membership::InstanceDirectory directory;
    /** Guards the suspect registry. Requests don't lock it; they read the suspect table that is made from it. */
    std::mutex suspectRegistryMutex;
    Quarantine::SuspectRegistry suspects;
    LinkPool links;
    /** By model name. Kept across configurations, so that the learned ratios are not lost. */
    std::map<std::string, std::shared_ptr<Routing::TokenEstimator>> estimators;
    asio::steady_timer heartbeatTimer;
    asio::steady_timer instanceListTimer;
    asio::steady_timer idleTimer;
    std::function<void()> onIdle;
};

} // namespace Entry
