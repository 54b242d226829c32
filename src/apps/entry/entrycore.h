#pragma once

#include "entrysettings.h"
#include "linkpool.h"
#include "requestflow.h"
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
     * @param settings the settings.
     */
    EntryCore(
        asio::io_context& control, asio::io_context& workers, const Foundation::Clock& clock, EntrySettings settings);
    ~EntryCore();

    void start();

    /**
     * Takes no new work and lets what runs finish.
     * @param onIdle called on the control thread when nothing runs any more.
     */
    void shutDown(std::function<void()> onIdle);

    /** @return whether new work is taken. */
    bool isReady() const;

    bool isShuttingDown() const { return this->shuttingDown.load(std::memory_order_acquire); }

    /** @return all metrics in Prometheus' text format. */
    std::string renderMetrics();

    /** @return the state of this entry and of its agents as JSON text. */
    std::string renderStatus() const;

    FlowEnvironment& flowEnvironment() { return this->environment; }
    std::shared_ptr<const RoutingTable> routingTable() const { return this->table.read(); }
    const EntrySettings& entrySettings() const { return this->settings; }

private:
    void onConfiguration(const Platform::ActiveConfigurationPtr& active);
    void onControl(const AgentLinkPtr& link, const Wire::Message& message);
    void onSuspects(const Wire::SuspectNotice& notice);
    void onWelcomed(const AgentLinkPtr& link);
    void compareVersions(const AgentLinkPtr& link, std::uint64_t peerVersion);
    void readInstanceList();
    void updateTargets();
    void publishTable();
    void publishSuspects();
    void heartbeat();
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
    std::atomic<std::int64_t> activeFlows { 0 };
    std::atomic<bool> shuttingDown { false };
    std::atomic<std::uint64_t> versionInForce { 0 };
    FlowEnvironment environment;
    Platform::HttpTransfers transfers;
    Platform::LogClient log;
    Platform::InstanceListClient instanceList;
    std::shared_ptr<Platform::ConfigurationFollower> keeper;
    Platform::ActiveConfigurationPtr configuration;
    Membership::InstanceDirectory directory;
    /** Guards the register; requests read the table that is made from it. */
    std::mutex suspectMutex;
    Quarantine::SuspectRegistry suspects;
    LinkPool links;
    std::map<std::string, std::shared_ptr<Routing::TokenEstimator>> estimators;
    asio::steady_timer heartbeatTimer;
    asio::steady_timer listTimer;
    asio::steady_timer idleTimer;
    std::function<void()> onIdle;
};

} // namespace Entry
