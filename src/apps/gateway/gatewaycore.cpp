#include "gatewaycore.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <asio/post.hpp>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;

// The grain of deadlines and of held-back prompts.
constexpr Duration tickInterval = std::chrono::milliseconds(20);
// Failed upstreams are told to the others no more often than this. When many fail at once, the gateways find different
// ones first; a gateway that is cut off from all must not keep the others away from many.
constexpr Duration noticeInterval = std::chrono::milliseconds(300);
// A loop that is so late makes first events late.
constexpr Duration noticeableDelay = std::chrono::milliseconds(100);
// The steady clock stands still while a machine is suspended, the boot clock does not.
constexpr Duration suspensionMinimum = std::chrono::milliseconds(500);
// The balancer asks every second and takes a process out after two misses.
constexpr Duration balancerDelay = std::chrono::milliseconds(2'700);
// Requests that arrive later than this after the signal to stop might be cut by the kill.
constexpr Duration lastArrival = std::chrono::milliseconds(2'900);
// The time that the last answers need to leave the sockets.
constexpr Duration flushTime = std::chrono::milliseconds(250);
// Answers are cut so long before the kill.
constexpr Duration killMargin = std::chrono::milliseconds(400);
// A request that crashed so many upstreams is not run any more. An upstream may also crash or break a connection for
// reasons of its own, so fewer would turn bystanders away.
constexpr std::size_t crashLimit = 3;

Relay::RetryBound retryBoundOf(const PlatformAdapter::NodeSettings& node)
{
    return { node.retryRatio, node.retrySlack, node.retryWindow };
}

} // namespace

GatewayCore::GatewayCore(asio::io_context& context, const GatewaySettings& settings)
    : context(context)
    , settings(settings)
    , transfers(context)
    , orders(this->transfers)
    , memory(this->orders, this->clock, settings.node.name + "-" + Foundation::makeIdentifier().substr(0, 8) + "-")
    , ledger(this->clock)
    , retries(retryBoundOf(settings.node))
    , suspects(this->clock, crashLimit)
    , mesh(context, this->clock, { settings.node.name, settings.node.failureDomain, settings.node.processorShare },
          settings.node.peers.text(),
          { [this](const Wire::PeerLoad& load) {
               this->ledger.setPeerShares(load.process, load.shares, load.isComplete);
               this->onLoadChanged(false);
           },
              [this](const std::string& peer) {
                  this->ledger.dropPeer(peer);
                  this->dispatcher.review();
              },
              [this](const Wire::KnowledgeQuery& query) { return this->knowledge.answer(query); },
              [this](const Wire::KnowledgeReply& reply) { this->knowledge.onReply(reply); },
              [this](const Wire::SuspectNotice& notice) {
                  for (const Quarantine::CrashNotice& crash : notice.crashes)
                      this->suspects.note(crash);
              },
              [this](const Wire::UpstreamNotice& notice) {
                  this->health.noteHearsay(
                      notice.run, std::chrono::milliseconds(notice.pauseMs), notice.isHelpOnly, this->clock.now());
                  logEvent(Event::UpstreamLeftOut, "",
                      "upstream=" + notice.run + " observation=told pause_ms=" + std::to_string(notice.pauseMs)
                          + " help_only=" + std::to_string(int(notice.isHelpOnly)));
              },
              [this] { return this->ledger.ownShares(); },
              [this] {
                  return Wire::SuspectNotice { this->suspects.notices(), {} };
              },
              [this] { this->applyBounds(); } })
    , knowledge(this->transfers, this->clock, this->bootClock, this->metrics, this->settings,
          { [this] { this->onKnowledgeChanged(); },
              [this](const std::string& upstreamRun) {
                  this->health.forget(upstreamRun);
                  this->dispatcher.forget(upstreamRun);
              },
              [this](const std::map<std::string, std::string>& addresses) { this->mesh.setMembers(addresses); },
              [this](const Wire::KnowledgeQuery& query) { return this->mesh.ask(query); },
              [this](const Wire::KnowledgeReply& news) { this->mesh.tellNeighbours(news); },
              [this] { return this->mesh.rank(); } })
    , dispatcher(this->clock, this->knowledge.directory(), this->health, this->ledger,
          settings.node.regionByFailureDomain, settings.node.failureDomain, settings.node.name)
    , flowContext { this->clock, this->metrics, this->transfers, this->knowledge, this->dispatcher, this->ledger,
        this->retries, this->health, this->suspects, this->memory,
        [this](bool isAdded) { this->onLoadChanged(isAdded); },
        [this](const Quarantine::CrashNotice& notice) {
            this->mesh.broadcast(Wire::SuspectNotice { { notice }, {} });
        },
        [this](const Wire::UpstreamNotice& notice) { this->tellUpstreamFailed(notice); },
        [this](const RelayFlow& flow) {
            this->flows.erase(&flow);
            this->lastFlowEnded = this->clock.now();
        },
        [this] { return bool(this->onStopped); },
        [this] { return this->onStopped && this->clock.now() - this->stopBegan >= lastArrival; } }
    , tickTimer(context)
{
}

Foundation::Result<void> GatewayCore::start()
{
    this->applyBounds();
    this->suspendedBefore = this->bootClock.now().time_since_epoch() - this->clock.now().time_since_epoch();
    this->mesh.setSeeds(this->settings.node.seeds);
    auto listening = this->mesh.listen(this->settings.node.peers.address, this->settings.node.peers.port);
    if (!listening)
        return listening;
    this->knowledge.start();
    this->tick();
    return boost::outcome_v2::success();
}

void GatewayCore::serve(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const auto flow = std::make_shared<RelayFlow>(this->flowContext, exchange);
    this->flows[flow.get()] = flow;
    flow->start();
}

bool GatewayCore::isReady() const
{
    const auto policy = this->knowledge.policy();
    return !this->onStopped && policy && (!policy->hasAccounts() || this->knowledge.mayAcceptKeys());
}

void GatewayCore::reload(const GatewaySettings& newSettings)
{
    this->settings = newSettings;
    this->knowledge.setSettings(newSettings);
    this->retries.setBound(retryBoundOf(newSettings.node));
    this->applyBounds();
}

void GatewayCore::applyBounds()
{
    const std::size_t processes = this->mesh.memberCount();
    this->retries.setProcessCount(processes);
    this->dispatcher.setProcessCount(processes);
    this->dispatcher.setColdBound(this->settings.node.coldFactor, this->settings.node.coldSlack);
}

void GatewayCore::onKnowledgeChanged()
{
    if (const auto policy = this->knowledge.policy())
        this->dispatcher.setPolicy(policy);
    this->dispatcher.review();
}

void GatewayCore::onLoadChanged(bool isAdded)
{
    if (std::exchange(this->isReviewScheduled, true) && !isAdded)
        return;
    asio::post(this->context, [this, isAdded] {
        if (isAdded)
            this->flushLoad();
        if (std::exchange(this->isReviewScheduled, false))
            this->dispatcher.review();
    });
}

void GatewayCore::flushLoad()
{
    this->lastFlush = this->clock.now();
    std::vector<Placement::UpstreamShare> changes = this->ledger.takeChanges();
    if (!changes.empty())
        this->mesh.tellLoad(std::move(changes));
}

void GatewayCore::tellUpstreamFailed(const Wire::UpstreamNotice& notice)
{
    const TimePoint now = this->clock.now();
    if (now < this->nextNotice)
        return;
    this->nextNotice = now + noticeInterval;
    this->mesh.broadcast(notice);
}

void GatewayCore::tick()
{
    this->noteSuspension();
    const TimePoint now = this->clock.now();
    const Duration late = now - this->nextTick;
    if (this->nextTick != TimePoint {} && late >= noticeableDelay)
        logEvent(Event::LoopDelayed, "",
            "late_ms=" + std::to_string(Foundation::toMilliseconds(late))
                + " under_way=" + std::to_string(this->flows.size()));
    this->knowledge.tick();
    this->mesh.tick();
    this->dispatcher.setLoadKnown(this->mesh.hearsMost());
    this->memory.tick();
    std::vector<std::shared_ptr<RelayFlow>> active;
    for (const auto& [key, flow] : this->flows)
        active.push_back(flow);
    for (const auto& flow : active)
        flow->check(now);
    if (now - this->lastFlush >= this->mesh.tellInterval())
        this->flushLoad();
    this->dispatcher.review();
    if (this->onStopped && this->mayStop(now)) {
        this->onStopped();
        return;
    }
    this->nextTick = this->clock.now() + tickInterval;
    this->tickTimer.expires_at(this->nextTick);
    this->tickTimer.async_wait([this](const asio::error_code& error) {
        if (!error)
            this->tick();
    });
}

void GatewayCore::noteSuspension()
{
    const Duration suspended = this->bootClock.now().time_since_epoch() - this->clock.now().time_since_epoch();
    const Duration added = suspended - this->suspendedBefore;
    this->suspendedBefore = suspended;
    if (added < suspensionMinimum)
        return;
    logEvent(Event::MachineSuspended, "", "suspended_ms=" + std::to_string(Foundation::toMilliseconds(added)));
    this->knowledge.restart();
    this->mesh.reset();
}

void GatewayCore::shutDown(std::function<void()> onDone)
{
    if (this->onStopped)
        return;
    logEvent(Event::ProcessStopping, "", "under_way=" + std::to_string(this->flows.size()));
    this->stopBegan = this->clock.now();
    this->onStopped = std::move(onDone);
}

bool GatewayCore::mayStop(TimePoint now) const
{
    const Duration passed = now - this->stopBegan;
    if (passed >= this->settings.node.shutdownGrace - killMargin)
        return true;
    return this->flows.empty() && passed >= balancerDelay && now - this->lastFlowEnded >= flushTime;
}

std::string GatewayCore::renderMetrics()
{
    this->metrics.setGauge("bluebell_requests_under_way", "", static_cast<double>(this->flows.size()));
    this->metrics.setGauge("bluebell_prompts_waiting", "", static_cast<double>(this->dispatcher.waitingCount()));
    this->metrics.setGauge("bluebell_upstreams", "", static_cast<double>(this->knowledge.directory().size()));
    this->metrics.setGauge("bluebell_gateways", "", static_cast<double>(this->mesh.memberCount()));
    return this->metrics.render();
}

} // namespace Gateway
