#pragma once

#include "gatewaysettings.h"
#include "knowledgekeeper.h"
#include "peermesh.h"
#include "relayflow.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace Gateway {

/** Owns what a gateway process knows and does, apart from its listeners. All calls come on the context's thread. */
class GatewayCore {
public:
    GatewayCore(asio::io_context& context, const GatewaySettings& settings);

    /** Starts to listen to peers and to read the store. @return nothing, or SettingsInvalid. */
    Foundation::Result<void> start();

    /** Serves a caller's request. */
    void serve(const std::shared_ptr<Web::HttpExchange>& exchange);

    /** @return whether the process takes requests. */
    bool isReady() const;

    /** Takes changed settings into use, as far as that is possible without a restart. */
    void reload(const GatewaySettings& settings);

    /**
     * Stops taking part: not ready from now on, connections of callers are closed after their next answer.
     * @param onDone called when nothing is under way, or shortly before the platform would kill the process.
     */
    void shutDown(std::function<void()> onDone);

    std::string renderMetrics();

private:
    void tick();
    void noteSuspension();
    void onKnowledgeChanged();
    void onLoadChanged(bool isAdded);
    void flushLoad();
    void tellUpstreamFailed(const Wire::UpstreamNotice& notice);
    void applyBounds();
    bool mayStop(Foundation::TimePoint now) const;

    asio::io_context& context;
    GatewaySettings settings;
    Foundation::SteadyClock clock;
    Foundation::BootClock bootClock;
    Foundation::MetricRegistry metrics;
    Platform::HttpTransfers transfers;
    PlatformAdapter::EngineOrders orders;
    MemoryKeeper<PlatformAdapter::EngineOrders> memory;
    Placement::LoadLedger ledger;
    Relay::UpstreamHealth health;
    Relay::RetryShare retries;
    Quarantine::SuspectRegister suspects;
    PeerMesh mesh;
    KnowledgeKeeper knowledge;
    Dispatcher dispatcher;
    FlowContext flowContext;
    std::map<const RelayFlow*, std::shared_ptr<RelayFlow>> flows;
    asio::steady_timer tickTimer;
    Foundation::TimePoint nextTick {};
    bool isReviewScheduled = false;
    Foundation::TimePoint lastFlush {};
    Foundation::TimePoint nextNotice {};
    Foundation::Duration suspendedBefore {};
    std::function<void()> onStopped;
    Foundation::TimePoint stopBegan {};
    Foundation::TimePoint lastFlowEnded {};
};

} // namespace Gateway
