#include "gatewaycore.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <asio/post.hpp>

#include <algorithm>
#include <set>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using Quarantine::CrashCertainty;
using Quarantine::CrashNotice;

// The resolution of deadlines and of the scheduling of queued prompts.
constexpr Duration tickInterval = std::chrono::milliseconds(20);
// The minimum interval between two notices of failed upstreams to the other gateways. If many upstreams fail at once,
// the gateways detect different ones first and inform each other. The limit keeps a gateway that is cut off from all
// upstreams from making the others eject many of them.
constexpr Duration failureNoticeInterval = std::chrono::milliseconds(300);
// An event loop that runs this late delays the first events of answers.
constexpr Duration loopDelayThreshold = std::chrono::milliseconds(100);
// The steady clock stands still while the machine is suspended, the boot clock does not. If they diverge by this much
// between two ticks, the machine was suspended.
constexpr Duration suspensionThreshold = std::chrono::milliseconds(500);
// A request that was running at this many upstream crashes is not run again. An upstream may also crash or break a
// connection for other reasons, so a lower limit would refuse requests that did not cause a crash.
constexpr std::size_t crashLimit = 3;

// Callers often leave for other reasons than a crash, so possible crashes are told in batches.
constexpr Duration possibleCrashInterval = std::chrono::milliseconds(300);
constexpr std::size_t maximumPossibleCrashes = 256;

constexpr std::size_t maximumToldCompletions = 256;

// The interval at which crash notices are compared with the list of upstreams.
constexpr Duration crashConfirmationInterval = std::chrono::milliseconds(500);

// The part of the process's memory for answers. The buffer of a growing answer takes up to three times its size while
// it is enlarged, and connections and the store cache need memory too.
constexpr std::size_t answerMemoryDivisor = 4;

Wire::SuspectNotice makeSuspectNotice(const std::vector<CrashNotice>& notices)
{
    Wire::SuspectNotice message;
    for (const CrashNotice& notice : notices)
        (notice.certainty == CrashCertainty::Possible ? message.possible : message.crashes).push_back(notice);
    return message;
}

// A gateway at which the requests have not run must not count crashes against them that others can explain.
Wire::SuspectNotice makeSuspectNotice(
    const std::vector<CrashNotice>& notices, const Quarantine::SuspectRegistry& suspects)
{
    Wire::SuspectNotice message = makeSuspectNotice(notices);
    std::set<std::string_view> fingerprints;
    for (const CrashNotice& notice : notices) {
        if (!fingerprints.insert(notice.fingerprint).second)
            continue;
        if (std::optional<Quarantine::RequestCompletion> completion = suspects.completion(notice.fingerprint))
            message.completed.push_back(std::move(*completion));
    }
    return message;
}

Relay::RetryLimit makeRetryLimit(const PlatformAdapter::NodeSettings& node)
{
    return { node.retryRatio, node.retryAllowance, node.retryWindow };
}

} // namespace

GatewayCore::GatewayCore(asio::io_context& context, const GatewaySettings& settings)
    : context(context)
    , settings(settings)
    , callerGuard(std::make_shared<Web::ReceiveGuard>(makeReceiveLimits(settings.receive, {}),
          makeReceiveMemorySettings(settings.receive, settings.node.memoryBytes), this->clock))
    , socketShares(makeSocketShares(settings.receive, settings.node.maximumSockets))
    , transfers(context, this->socketShares.upstreams)
    , storeTransfers(context)
    , engineOrders(this->transfers)
    , memoryLeases(
          this->engineOrders, this->clock, settings.node.name + "-" + Foundation::makeIdentifier().substr(0, 8) + "-")
    , ledger(this->clock)
    , retryBudget(makeRetryLimit(settings.node))
    , suspects(this->clock, crashLimit)
    , promptParts(this->clock)
    , answerMemory(settings.node.memoryBytes / answerMemoryDivisor)
    , peers(context, this->clock, { settings.node.name, settings.node.failureDomain, settings.node.processorCores },
          settings.node.peerEndpoint.text(),
          { [this](const Wire::PeerLoad& load) {
               this->crowds.recordPeer(
                   load.process, this->ledger.setPeerUsage(load.process, load.usages, load.isComplete));
               if (load.isComplete)
                   this->permits.recordSupport(load.process, load.permitIssuer);
               this->onLoadChanged(false);
           },
              [this](const std::string& peer) {
                  this->ledger.dropPeer(peer);
                  this->crowds.dropPeer(peer);
                  this->dispatcher.schedule();
              },
              [this](const Wire::StoreCacheQuery& query) { return this->storeSynchronizer.answerQuery(query); },
              [this](const Wire::StoreCacheReply& reply) { this->storeSynchronizer.onReply(reply); },
              [this](const Wire::SuspectNotice& notice) { this->onPeerSuspects(notice); },
              [this](const Wire::UpstreamFailureNotice& notice) {
                  this->health.applyPeerReport(notice.generation, std::chrono::milliseconds(notice.ejectionMs),
                      notice.isHelpRefusal, this->clock.now());
                  logEvent(Event::UpstreamLeftOut, "",
                      "upstream=" + notice.generation
                          + " observation=told pause_ms=" + std::to_string(notice.ejectionMs)
                          + " help_only=" + std::to_string(int(notice.isHelpRefusal)));
                  if (!notice.isRefused)
                      return;
                  this->health.recordPeerRefusal(notice.generation, this->clock.now());
                  this->suspectGeneration(notice.generation);
                  this->partCrashes.onUpstreamReported(notice.generation);
              },
              [this](const Wire::UpstreamLimitNotice& notice) { this->onUpstreamLimits(notice); },
              [this](const std::string& peer, const Wire::PermitRequest& request) {
                  this->permits.onRequest(peer, request);
              },
              [this](const std::string& peer, const Wire::PermitReply& reply) { this->permits.onReply(peer, reply); },
              [this](const Wire::PermitReturn& returned) { this->permits.onReturn(returned); },
              [this] { return this->ledger.ownUsage(); }, [this] { return this->makeSuspectSnapshot(); },
              [this] { return Wire::UpstreamLimitNotice { this->upstreamLimits.notices(this->clock.now()) }; },
              [this] { return this->permits.supportedIssuer(); }, [this] { this->applyLimits(); } })
    , permits(this->clock, this->bootClock,
          { settings.node.name, settings.node.failureDomain, settings.node.processorCores }, this->upstreamLimits,
          { [this](const std::string& peer, const Wire::Message& message) { this->peers.sendTo(peer, message); },
              [this] { return this->peers.reachableGateways(); }, [this] { return this->peers.presentMemberCount(); },
              [this] { this->onLoadChanged(false); } })
    , storeSynchronizer(this->storeTransfers, this->clock, this->bootClock, this->metrics, this->settings,
          { [this] { this->onStoreCacheChanged(); },
              [this](const std::string& upstreamGeneration) {
                  this->health.remove(upstreamGeneration);
                  this->permits.remove(upstreamGeneration);
                  this->dispatcher.removeGeneration(upstreamGeneration);
                  // Possible crashes of the generation count from now on.
                  this->nextCrashConfirmation = {};
              },
              [this](const std::map<std::string, std::string>& addresses) {
                  this->crowds.confirmMembership();
                  this->peers.addMembers(addresses);
              },
              [this](const Wire::StoreCacheQuery& query) { return this->peers.sendQuery(query); },
              [this](const Wire::StoreCacheReply& update) { this->peers.sendToDomainPeers(update); },
              [this](const StoreCache::KeyedRecord& record) {
                  if (PartCrashStore::ownsKey(record.key))
                      this->partCrashStore.onRecord(record);
                  else
                      this->suspectStore.onRecord(record);
              },
              [this](Duration delay) {
                  this->suspectStore.onNewEra(delay);
                  this->partCrashStore.onNewEra();
              },
              [this] { return this->peers.domainRank(); } })
    , suspectWriter(this->storeSynchronizer.storeClient(), this->clock)
    , suspectStore(this->suspectWriter, this->clock, this->wallClock, this->suspects)
    , completionStore(this->storeSynchronizer.storeClient(), this->clock, this->wallClock, this->suspects,
          settings.node.failureDomain,
          { [this] { return this->storeSynchronizer.isStoreReachable(); },
              [this] { return this->peers.domainRank(); } })
    , partCrashStore(this->suspectWriter, this->clock, this->wallClock, this->promptParts)
    , partCrashes(this->clock, this->promptParts, this->partCrashStore,
          [this](const Wire::SuspectNotice& notice) { this->peers.broadcast(notice); })
    , crowds(this->clock, this->metrics, settings.node.name)
    , dispatcher(this->clock, this->storeSynchronizer.directory(), this->health, this->ledger, this->permits,
          this->crowds, settings.node.regionByFailureDomain, settings.node.failureDomain, settings.node.name)
    , proxyContext { this->clock, this->metrics, this->transfers, this->storeSynchronizer, this->dispatcher,
        this->ledger, this->retryBudget, this->health, this->suspects, this->silenceWatch, this->promptParts,
        this->partCrashes, this->answerMemory, this->memoryLeases, this->permits,
        [this](const std::string& generation, std::optional<double> requestsPerSecond, TimePoint sentAt) {
            this->onLimitInAnswer(generation, requestsPerSecond, sentAt);
        },
        [this](bool isAdded) { this->onLoadChanged(isAdded); },
        [this](const std::vector<CrashNotice>& notices) { this->onOwnSuspects(notices); },
        [this](const std::string& generation) { this->onOwnSuspects(this->suspectGeneration(generation)); },
        [this](const CrashNotice& notice) {
            this->peers.broadcast(Wire::SuspectNotice { {}, {}, {}, { notice } });
        },
        [this](const std::string& generation) { this->onSilenceEnded(generation); },
        [this](const Quarantine::WatchedAttempt& attempt) { this->onSilentCrash(attempt); },
        [this](const std::string& fingerprint) { this->onExonerated(fingerprint); },
        [this](const Wire::UpstreamFailureNotice& notice) { this->broadcastUpstreamFailure(notice); },
        [this](const ProxiedRequest& request) {
            this->requests.erase(&request);
            this->lastRequestEnd = this->clock.now();
        },
        this->plannedStop }
    , tickTimer(context)
{
}

Foundation::Result<void> GatewayCore::start()
{
    this->applyLimits();
    this->totalSuspension = this->bootClock.now().time_since_epoch() - this->clock.now().time_since_epoch();
    this->peers.addSeeds(this->settings.node.seeds);
    auto listening
        = this->peers.listen(this->settings.node.peerEndpoint.address, this->settings.node.peerEndpoint.port);
    if (!listening)
        return listening;
    this->storeSynchronizer.start();
    this->tick();
    return boost::outcome_v2::success();
}

void GatewayCore::serve(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const auto request = std::make_shared<ProxiedRequest>(this->proxyContext, exchange);
    const bool isFull = this->requests.size() >= this->socketShares.requests;
    this->requests[request.get()] = request;
    if (isFull)
        request->refuse(Foundation::ResultCode::ProcessFull);
    else
        request->start();
}

bool GatewayCore::isReady() const
{
    const auto policy = this->storeSynchronizer.policy();
    return !this->plannedStop.hasBegun() && policy
        && (!policy->hasAccounts() || this->storeSynchronizer.canAcceptKeys());
}

void GatewayCore::reload(const GatewaySettings& newSettings)
{
    this->settings = newSettings;
    this->storeSynchronizer.setSettings(newSettings);
    this->retryBudget.setLimit(makeRetryLimit(newSettings.node));
    this->answerMemory.setCapacity(newSettings.node.memoryBytes / answerMemoryDivisor);
    this->callerGuard->memory->setSettings(
        makeReceiveMemorySettings(newSettings.receive, newSettings.node.memoryBytes));
    this->applyCallerLimits();
    this->applyLimits();
}

void GatewayCore::onPeerSuspects(const Wire::SuspectNotice& notice)
{
    // The crashes that are told with them happened later.
    for (const Quarantine::RequestCompletion& completion : notice.completed)
        this->suspects.recordCompletion(completion);
    for (const auto* const list : { &notice.crashes, &notice.possible }) {
        for (const CrashNotice& crash : *list) {
            if (!this->suspects.record(crash))
                continue;
            if (crash.certainty != CrashCertainty::Possible)
                this->logSuspect(crash, "told");
            this->suspectStore.onRecorded(crash.fingerprint, /* isObservedHere */ false);
        }
    }
    for (const CrashNotice& crash : notice.withdrawn)
        this->suspects.withdraw(crash);
    for (const std::string& fingerprint : notice.cleared) {
        this->suspects.exonerate(fingerprint);
        this->suspectStore.removeObserved(fingerprint);
    }
    this->partCrashes.onNotice(notice);
}

Wire::SuspectNotice GatewayCore::makeSuspectSnapshot() const
{
    Wire::SuspectNotice snapshot = makeSuspectNotice(this->suspects.notices());
    // A gateway that has just started has seen no request complete.
    snapshot.completed = this->suspects.completions(maximumToldCompletions);
    this->partCrashes.addKnown(snapshot);
    return snapshot;
}

void GatewayCore::onOwnSuspects(const std::vector<CrashNotice>& notices)
{
    if (notices.empty())
        return;
    std::vector<CrashNotice> urgent;
    for (const CrashNotice& notice : notices) {
        const bool isSuspect = this->suspects.status(notice.fingerprint) != Quarantine::QuarantineStatus::Clear;
        const bool isUrgent = notice.certainty != CrashCertainty::Possible || isSuspect;
        if (isUrgent)
            urgent.push_back(notice);
        else if (this->unsentPossibleCrashes.size() < maximumPossibleCrashes)
            this->unsentPossibleCrashes.push_back(notice);
        this->suspectStore.onRecorded(notice.fingerprint, /* isObservedHere */ true);
    }
    if (!urgent.empty())
        this->peers.broadcast(makeSuspectNotice(urgent, this->suspects));
}

void GatewayCore::flushPossibleCrashes()
{
    const TimePoint now = this->clock.now();
    if (now < this->nextPossibleCrashFlush || this->unsentPossibleCrashes.empty())
        return;
    this->nextPossibleCrashFlush = now + possibleCrashInterval;
    this->peers.broadcast(makeSuspectNotice(std::exchange(this->unsentPossibleCrashes, {}), this->suspects));
}

void GatewayCore::onExonerated(const std::string& fingerprint)
{
    logEvent(Event::SuspectCleared, "", "fingerprint=" + fingerprint);
    this->peers.broadcast(Wire::SuspectNotice { {}, { fingerprint }, {}, {} });
    this->suspectStore.remove(fingerprint);
}

void GatewayCore::onSilenceEnded(const std::string& generation)
{
    for (const Quarantine::WatchedAttempt& watched : this->silenceWatch.takeGeneration(generation))
        this->transfers.cancel(watched.call);
    const std::vector<CrashNotice> withdrawn = this->suspects.withdrawGeneration(generation);
    if (!withdrawn.empty())
        this->peers.broadcast(Wire::SuspectNotice { {}, {}, {}, withdrawn });
    this->partCrashes.onSilenceEnded(generation);
    this->health.recordRecovery(generation, this->clock.now());
    logEvent(
        Event::SilenceEnded, "", "upstream=" + generation + " withdrawn_crashes=" + std::to_string(withdrawn.size()));
    this->onLoadChanged(false);
}

void GatewayCore::onSilentCrash(const Quarantine::WatchedAttempt& attempt)
{
    this->transfers.cancel(attempt.call);
    CrashNotice notice = attempt.notice;
    notice.certainty = CrashCertainty::Suspected;
    if (this->suspects.record(notice)) {
        this->metrics.counter("bluebell_suspects_total", "ending=\"silent\"").fetch_add(1);
        this->logSuspect(notice, "silent");
        this->onOwnSuspects({ notice });
    }
    this->onOwnSuspects(this->suspectGeneration(attempt.generation));
    this->partCrashes.onUpstreamDown(attempt.generation);
}

void GatewayCore::checkWatchedAttempts()
{
    const TimePoint now = this->clock.now();
    for (const Quarantine::WatchedAttempt& attempt : this->silenceWatch.takeOverdue(now)) {
        const auto lastDataAt = this->health.lastDataAt(attempt.generation);
        if (now >= Relay::crashSuspectedFrom(attempt.countsFrom, {}, lastDataAt)) {
            this->onSilentCrash(attempt);
            continue;
        }
        // The upstream is sound but slow. Its crash stays possible: it may have ended since it last sent data.
        this->transfers.cancel(attempt.call);
    }
    for (const Quarantine::WatchedAttempt& attempt : this->silenceWatch.takeUndecided(now))
        this->transfers.cancel(attempt.call);
}

void GatewayCore::confirmCrashes()
{
    const TimePoint now = this->clock.now();
    const Membership::UpstreamDirectory& directory = this->storeSynchronizer.directory();
    if (now < this->nextCrashConfirmation || directory.size() == 0)
        return;
    this->nextCrashConfirmation = now + crashConfirmationInterval;
    const std::vector<CrashNotice> confirmed = this->suspects.confirmEnded(
        [&directory](std::string_view generation) { return directory.isGenerationListed(generation); },
        [&directory](std::string_view generation) { return directory.hasEndedUnexpectedly(generation); });
    this->partCrashes.confirmEnded(
        [&directory](std::string_view generation) { return directory.hasEndedUnexpectedly(generation); });
    if (!confirmed.empty())
        this->peers.broadcast(makeSuspectNotice(confirmed, this->suspects));
    for (const CrashNotice& notice : confirmed) {
        this->logSuspect(notice, "generation ended");
        this->suspectStore.onRecorded(notice.fingerprint, /* isObservedHere */ false);
    }
}

std::vector<CrashNotice> GatewayCore::suspectGeneration(const std::string& generation)
{
    std::vector<CrashNotice> raised = this->suspects.suspectGeneration(generation);
    for (const CrashNotice& notice : raised) {
        this->metrics.counter("bluebell_suspects_total", "ending=\"upstream down\"").fetch_add(1);
        this->logSuspect(notice, "upstream down");
    }
    return raised;
}

void GatewayCore::logSuspect(const CrashNotice& notice, std::string_view ending) const
{
    logEvent(Event::SuspectAdded, "",
        "fingerprint=" + notice.fingerprint + " crash=" + notice.crash + " ending=" + std::string(ending)
            + " certainty=" + std::to_string(static_cast<int>(notice.certainty))
            + " crashes=" + std::to_string(this->suspects.crashCount(notice.fingerprint)));
}

void GatewayCore::applyLimits()
{
    const std::size_t processes = this->peers.memberCount();
    this->retryBudget.setProcessCount(processes);
    this->dispatcher.setProcessCount(processes);
    this->crowds.setProcesses(processes, this->peers.memberRank());
    this->crowds.setSeedCount(static_cast<std::size_t>(std::ranges::count_if(this->settings.node.seeds,
        [own = this->settings.node.peerEndpoint.text()](const std::string& seed) { return seed != own; })));
    this->crowds.setSwitch(this->settings.crowdPlacement);
    this->dispatcher.setContentionPolicy(this->settings.contentionPolicy, this->metrics);
    this->dispatcher.setColdStartLimit(this->settings.node.coldStartFactor, this->settings.node.coldStartAllowance);
}

void GatewayCore::applyCallerLimits()
{
    const auto policy = this->storeSynchronizer.policy();
    this->callerGuard->setLimits(
        makeReceiveLimits(this->settings.receive, policy ? policy->callerLimits() : Policy::CallerLimits {}));
}

void GatewayCore::exportReceiveMetrics()
{
    const Web::ReceiveMemory& memory = *this->callerGuard->memory;
    this->metrics.setGauge("bluebell_receive_memory_bytes", "", static_cast<double>(memory.heldBytes()));
    this->metrics.setGauge("bluebell_receive_memory_peak_bytes", "", static_cast<double>(memory.peakBytes()));
    this->metrics.setGauge("bluebell_requests_receiving", "", static_cast<double>(memory.receivingCount()));
    for (const Web::ClientRefusal refusal : Web::allClientRefusals) {
        const std::string label = "reason=\"" + std::string(Web::refusalName(refusal)) + "\"";
        this->metrics.counter("bluebell_clients_refused_total", label)
            .store(this->callerGuard->refusals.count(refusal));
    }
}

void GatewayCore::onStoreCacheChanged()
{
    if (const auto policy = this->storeSynchronizer.policy())
        this->dispatcher.setPolicy(policy);
    this->applyCallerLimits();
    this->dispatcher.schedule();
}

void GatewayCore::onLoadChanged(bool isAdded)
{
    if (std::exchange(this->isSchedulePending, true) && !isAdded)
        return;
    asio::post(this->context, [this, isAdded] {
        if (isAdded)
            this->flushLoad();
        if (std::exchange(this->isSchedulePending, false))
            this->dispatcher.schedule();
    });
}

void GatewayCore::flushLoad()
{
    this->lastLoadFlush = this->clock.now();
    std::vector<Placement::UpstreamUsage> changes = this->ledger.takeChanges();
    if (!changes.empty())
        this->peers.publishLoad(std::move(changes));
}

void GatewayCore::broadcastUpstreamFailure(const Wire::UpstreamFailureNotice& notice)
{
    const TimePoint now = this->clock.now();
    if (now < this->nextFailureNotice)
        return;
    this->nextFailureNotice = now + failureNoticeInterval;
    this->peers.broadcast(notice);
}

void GatewayCore::onLimitInAnswer(
    const std::string& generation, std::optional<double> requestsPerSecond, TimePoint sentAt)
{
    const TimePoint now = this->clock.now();
    if (!this->upstreamLimits.recordAnswer(generation, requestsPerSecond, sentAt, now))
        return;
    this->peers.broadcast(Wire::UpstreamLimitNotice { { this->upstreamLimits.notice(generation, now) } });
    this->onLimitChanged(generation, "upstream");
}

void GatewayCore::onUpstreamLimits(const Wire::UpstreamLimitNotice& notice)
{
    for (const RateLimit::LimitNotice& limit : notice.limits) {
        if (this->upstreamLimits.recordNotice(limit, this->clock.now()))
            this->onLimitChanged(limit.upstreamGeneration, "gateway");
    }
}

void GatewayCore::onLimitChanged(const std::string& generation, std::string_view source)
{
    const std::optional<double> limit = this->upstreamLimits.find(generation);
    logEvent(Event::UpstreamLimited, "",
        "upstream=" + generation + " requests_per_second=" + (limit ? std::to_string(*limit) : "none")
            + " told_by=" + std::string(source));
    this->permits.onLimitChanged(generation);
    this->onLoadChanged(false);
}

void GatewayCore::tick()
{
    this->checkForSuspension();
    if (!this->mustReadFirst()) {
        this->runDuties();
        // Callers may still receive answers whose requests have ended, and only this process releases the memory of
        // orders that engines execute late.
        const bool isIdle
            = this->requests.empty() && this->answerMemory.heldBytes() == 0 && this->memoryLeases.size() == 0;
        if (this->plannedStop.mayEnd(this->clock.now(), isIdle, this->lastRequestEnd)) {
            this->plannedStop.end();
            return;
        }
    }
    this->nextTick = this->clock.now() + tickInterval;
    this->tickTimer.expires_at(this->nextTick);
    this->tickTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->tick();
    });
}

bool GatewayCore::mustReadFirst()
{
    const Duration delay = this->clock.now() - this->nextTick;
    if (this->nextTick == TimePoint {} || delay < loopDelayThreshold) {
        this->isTickPutOff = false;
        return false;
    }
    logEvent(Event::LoopDelayed, "",
        "late_ms=" + std::to_string(Foundation::toMilliseconds(delay))
            + " under_way=" + std::to_string(this->requests.size()));
    this->isTickPutOff = !this->isTickPutOff;
    return this->isTickPutOff;
}

void GatewayCore::runDuties()
{
    const TimePoint now = this->clock.now();
    this->storeSynchronizer.tick();
    this->checkWatchedAttempts();
    this->confirmCrashes();
    this->flushPossibleCrashes();
    this->partCrashes.tick();
    this->suspectWriter.tick();
    this->completionStore.tick();
    this->peers.tick();
    this->dispatcher.setPeerLoadAvailable(this->peers.isMajorityConnected() && this->crowds.isMembershipKnown());
    this->memoryLeases.tick();
    this->crowds.tick();
    this->permits.tick();
    std::vector<std::shared_ptr<ProxiedRequest>> activeRequests;
    for (const auto& [key, request] : this->requests)
        activeRequests.push_back(request);
    for (const auto& request : activeRequests)
        request->checkTimeouts(now);
    if (now - this->lastLoadFlush >= this->peers.loadFlushInterval())
        this->flushLoad();
    this->dispatcher.schedule();
}

void GatewayCore::checkForSuspension()
{
    const Duration suspension = this->bootClock.now().time_since_epoch() - this->clock.now().time_since_epoch();
    const Duration added = suspension - this->totalSuspension;
    this->totalSuspension = suspension;
    if (added < suspensionThreshold)
        return;
    logEvent(Event::MachineSuspended, "", "suspended_ms=" + std::to_string(Foundation::toMilliseconds(added)));
    this->storeSynchronizer.resetReads();
    this->peers.closeOutgoing();
}

void GatewayCore::shutDown(std::function<void()> onDone)
{
    if (this->plannedStop.hasBegun())
        return;
    logEvent(Event::ProcessStopping, "", "under_way=" + std::to_string(this->requests.size()));
    this->peers.broadcast(Wire::PeerDeparture {});
    this->plannedStop.begin(this->clock.now(), this->settings.node.shutdownGrace, std::move(onDone));
}

std::string GatewayCore::renderMetrics()
{
    this->dispatcher.updateMetrics();
    this->metrics.setGauge("bluebell_requests_under_way", "", static_cast<double>(this->requests.size()));
    this->metrics.setGauge("bluebell_prompts_waiting", "", static_cast<double>(this->dispatcher.queuedPromptCount()));
    this->metrics.setGauge("bluebell_upstreams", "", static_cast<double>(this->storeSynchronizer.directory().size()));
    this->metrics.setGauge("bluebell_answer_memory_bytes", "", static_cast<double>(this->answerMemory.heldBytes()));
    this->exportReceiveMetrics();
    this->metrics.setGauge("bluebell_suspects", "", static_cast<double>(this->suspects.size()));
    this->metrics.setGauge("bluebell_limited_upstreams", "", static_cast<double>(this->upstreamLimits.size()));
    this->metrics.setGauge("bluebell_gateways", "", static_cast<double>(this->peers.memberCount()));
    this->crowds.updateMetrics();
    return this->metrics.render();
}

} // namespace Gateway
