#pragma once

#include "dispatcher.h"
#include "memoryleasemanager.h"
#include "partcrashexchange.h"
#include "plannedstop.h"
#include "storesynchronizer.h"

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <platform/httptransfers.h>
#include <quarantine/silencewatch.h>
#include <quarantine/suspectregistry.h>
#include <relay/answermemory.h>
#include <relay/localretrybudget.h>
#include <relay/upstreamhealth.h>

#include "platform/engineorders.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

class ProxiedRequest;

/** Services and callbacks that all proxied requests of a gateway share. */
struct ProxyContext {
    const Foundation::Clock& clock;
    Foundation::MetricRegistry& metrics;
    Platform::HttpTransfers& transfers;
    StoreSynchronizer& storeSynchronizer;
    Dispatcher& dispatcher;
    Placement::LoadLedger& ledger;
    Relay::LocalRetryBudget& retryBudget;
    Relay::UpstreamHealth& health;
    Quarantine::SuspectRegistry& suspects;
    Quarantine::SilenceWatch& silenceWatch;
    Quarantine::PromptPartRegistry& promptParts;
    PartCrashExchange& partCrashes;
    Relay::AnswerMemory& answerMemory;
    MemoryLeaseManager<PlatformAdapter::EngineOrders>& memoryLeases;
    PermitExchange& permits;
    /** Called with what an answer to a request says of the limit of its upstream; none if it names none. */
    std::function<void(
        const std::string& generation, std::optional<double> requestsPerSecond, Foundation::TimePoint sentAt)>
        onLimitInAnswer;
    /** Called after a change of the ledger or of the health of upstreams; added load is published at once. */
    std::function<void(bool isAdded)> onLoadChanged;
    /** Called with new or more certain crash notices, to be sent to the other gateways and stored. */
    std::function<void(const std::vector<Quarantine::CrashNotice>&)> onSuspects;
    /** Called with the generation of an upstream that has broken or refused a connection. */
    std::function<void(const std::string& generation)> onUpstreamDown;
    /** Called with a possible crash that was announced and whose attempt has not run. */
    std::function<void(const Quarantine::CrashNotice&)> onSuspectWithdrawn;
    /** Called with the generation of an upstream that was silent and has gone on. */
    std::function<void(const std::string& generation)> onSilenceEnded;
    /** Called when the connection of a watched attempt has broken. */
    std::function<void(const Quarantine::WatchedAttempt&)> onSilentCrash;
    /** Called with the fingerprint of a request that has run to its end although crashes were recorded against it. */
    std::function<void(const std::string& fingerprint)> onExonerated;
    /** Called when an upstream is ejected and the other gateways should eject it too. */
    std::function<void(const Wire::UpstreamFailureNotice&)> onUpstreamEjected;
    /** Called when a request has ended. */
    std::function<void(const ProxiedRequest&)> onEnded;
    /** Callers must use another process once it has begun. */
    const PlannedStop& plannedStop;
};

} // namespace Gateway
