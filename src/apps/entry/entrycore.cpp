#include "entrycore.h"

#include <configuration/peerexchange.h>
#include <foundation/identifier.h>
#include <foundation/logging.h>
#include <foundation/mechanism.h>
#include <membership/agentsubset.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Entry {

namespace {

using Foundation::Event;

constexpr Foundation::Duration instanceListPollInterval = std::chrono::seconds(1);
// The number of agents of each upstream that the entry connects to before it has a configuration.
constexpr std::size_t subsetSizeWithoutConfiguration = 3;
constexpr Foundation::Duration idlePollInterval = std::chrono::milliseconds(20);

std::shared_ptr<const RoutingTable> makeEmptyTable(const std::string& failureDomain)
{
    auto table = std::make_shared<RoutingTable>(nullptr, failureDomain);
    table->selector = std::make_shared<Routing::ConfiguredSelector>(Configuration::PolicyDefinition());
    return table;
}

std::string_view toString(Membership::Availability availability)
{
    switch (availability) {
    case Membership::Availability::Available:
        return "available";
    case Membership::Availability::NotReady:
        return "notReady";
    case Membership::Availability::TakenOut:
        return "takenOut";
    case Membership::Availability::Draining:
        return "leaving";
    case Membership::Availability::ShuttingDown:
        return "shuttingDown";
    case Membership::Availability::Down:
        return "down";
    }
    return "notReady";
}

} // namespace

/**
 * @class EntryCore
 * The control plane of an entry: configuration, instance list, connections and suspects. It runs on the control thread
 * and publishes immutable tables that requests read without a lock.
 */
EntryCore::EntryCore(
    asio::io_context& control, asio::io_context& workers, const Foundation::Clock& clock, EntrySettings entrySettings)
    : control(control)
    , settings(std::move(entrySettings))
    , entryId(this->settings.process.instance + "/" + Foundation::makeIdentifier())
    , table(makeEmptyTable(this->settings.process.failureDomain))
    , suspectTable(std::make_shared<const SuspectTable>())
    , answerMemory(this->settings.process.answerMemoryBytes)
    , sharedContext { workers, clock, this->metrics, this->table, this->suspectTable, this->retryBudget, this->traces,
        this->activeRequests, this->answerMemory, this->settings.recoveryTime, this->settings.interleaving }
    , transfers(control)
    , log(transfers, this->settings.process.logUrl)
    , instanceList(transfers, this->settings.process.instanceListUrl)
    , suspects(clock)
    , links(control, workers, clock,
          {
              [this](const AgentLinkPtr& link) { this->onWelcomed(link); },
              [this](const AgentLinkPtr& link) {
                  this->directory.setLinkState(link->instance().id, Membership::LinkState::Disconnected);
              },
              [this](const AgentLinkPtr& link, const Wire::Message& message) { this->onControlMessage(link, message); },
              [this](const Wire::SuspectNotice& notice) { this->onSuspects(notice); },
              [this] {
                  return Wire::Hello { Wire::protocolVersion, this->settings.process.token, this->entryId,
                      this->versionInForce.load() };
              },
          })
    , heartbeatTimer(control)
    , instanceListTimer(control)
    , idleTimer(control)
{
    this->configurationFollower = std::make_shared<Platform::ConfigurationFollower>(
        control, this->log, [this](const Platform::ActiveConfigurationPtr& active) { this->onConfiguration(active); });
}

EntryCore::~EntryCore() = default;

void EntryCore::start()
{
    this->configurationFollower->start();
    this->pollInstanceList();
    this->maintainLinks();
}

void EntryCore::shutDown(std::function<void()> idleHandler)
{
    if (this->shuttingDown.exchange(true))
        return;
    Foundation::logEvent(Event::ProcessStopping, "", "");
    this->onIdle = std::move(idleHandler);
    this->waitUntilIdle();
}

bool EntryCore::isReady() const { return !this->isShuttingDown() && this->table.read()->isComplete(); }

std::string EntryCore::renderMetrics()
{
    this->metrics.setGauge("bluebell_active_requests", "", static_cast<double>(this->activeRequests.load()));
    this->metrics.setGauge("bluebell_configuration_version", "", static_cast<double>(this->versionInForce.load()));
    this->metrics.setGauge("bluebell_stray_messages", "", static_cast<double>(this->links.strayMessages()));
    return this->metrics.render();
}

std::string EntryCore::renderStatus() const
{
    nlohmann::json agents = nlohmann::json::array();
    const auto current = this->table.read();
    std::map<std::string, AgentLinkPtr> unique;
    for (const auto& [name, route] : current->models) {
        for (const AgentLinkPtr& link : route.links)
            unique[link->instance().id] = link;
    }
    for (const auto& [name, route] : current->services) {
        for (const AgentLinkPtr& link : route.links)
            unique[link->instance().id] = link;
    }
    for (const auto& [id, link] : unique) {
        const Membership::UpstreamLoad load = link->load();
        agents.push_back({ { "instance", id }, { "failureDomain", link->instance().failureDomain },
            { "upstream", link->instance().upstream }, { "version", link->peerVersion() },
            { "availability", toString(load.availability) }, { "running", load.running }, { "queued", load.queued },
            { "concurrentLimit", load.concurrentLimit } });
    }
    const nlohmann::json status = {
        { "instance", this->settings.process.instance },
        { "version", this->versionInForce.load() },
        { "ready", this->isReady() },
        { "activeRequests", this->activeRequests.load() },
        { "agents", agents },
    };
    return status.dump();
}

void EntryCore::onConfiguration(const Platform::ActiveConfigurationPtr& active)
{
    this->configuration = active;
    this->updateTargets();
    this->publishRoutingTable();
    this->versionInForce.store(active->state.version);
    // Notifies the agents of the version at once, so that they apply a change before the next regular heartbeat.
    this->links.broadcast(Wire::Heartbeat { active->state.version });
}

void EntryCore::onControlMessage(const AgentLinkPtr& link, const Wire::Message& message)
{
    if (const auto* const heartbeat = std::get_if<Wire::Heartbeat>(&message))
        this->handlePeerVersion(link, heartbeat->configurationVersion);
    if (const auto* const report = std::get_if<Wire::LoadReport>(&message))
        this->directory.setReportedAvailability(link->instance().id, report->load.availability);
    if (const auto* const configurationRequest = std::get_if<Wire::ConfigurationRequest>(&message)) {
        const auto difference = Configuration::makeDifference(
            configurationRequest->documentVersion, this->configurationFollower->state());
        link->send(Wire::ConfigurationDifference { difference.dump() });
    }
    if (const auto* const configurationDifference = std::get_if<Wire::ConfigurationDifference>(&message)) {
        const auto value
            = nlohmann::json::parse(configurationDifference->difference, nullptr, /* allow_exceptions */ false);
        const auto state = Configuration::applyDifference(this->configurationFollower->state(), value);
        if (state)
            this->configurationFollower->applyPeerState(state.value());
    }
    if (const auto* const goodbye = std::get_if<Wire::Goodbye>(&message))
        Foundation::logEvent(Event::PeerRefused, "", Foundation::resultCodeEntry(goodbye->code).name);
}

void EntryCore::onSuspects(const Wire::SuspectNotice& notice)
{
    Wire::SuspectNotice update;
    const std::lock_guard lock(this->suspectRegistryMutex);
    for (const Quarantine::CrashNotice& crash : notice.crashes) {
        if (this->suspects.record(crash))
            update.crashes.push_back(crash);
    }
    for (const std::string& fingerprint : notice.cleared) {
        if (this->suspects.status(fingerprint) != Quarantine::QuarantineStatus::Suspect)
            continue;
        this->suspects.clear(fingerprint);
        update.cleared.push_back(fingerprint);
    }
    if (update.crashes.empty() && update.cleared.empty())
        return;
    this->publishSuspectTable();
    // Agents of other upstreams must receive the update before the caller sends the request again.
    asio::post(this->control, [this, update = std::move(update)] { this->links.broadcast(update); });
}

void EntryCore::onWelcomed(const AgentLinkPtr& link)
{
    this->directory.setLinkState(link->instance().id, Membership::LinkState::Connected);
    this->directory.setReportedAvailability(link->instance().id, link->load().availability);
    this->handlePeerVersion(link, link->peerVersion());
    const std::lock_guard lock(this->suspectRegistryMutex);
    const std::vector<Quarantine::CrashNotice> notices = this->suspects.notices();
    if (!notices.empty())
        link->send(Wire::SuspectNotice { notices, {}, {}, {} });
}

void EntryCore::handlePeerVersion(const AgentLinkPtr& link, std::uint64_t peerVersion)
{
    link->setPeerVersion(peerVersion);
    if (!Foundation::isEnabled(Foundation::Mechanism::PeerConfiguration))
        return;
    if (peerVersion > this->versionInForce.load())
        link->send(Wire::ConfigurationRequest { this->configurationFollower->state().documentVersion });
}

void EntryCore::pollInstanceList()
{
    this->instanceList.read([this](const Foundation::Result<std::vector<Membership::Instance>>& list) {
        if (list) {
            this->directory.applyList(list.value());
            this->updateTargets();
            this->publishRoutingTable();
        }
        this->instanceListTimer.expires_after(instanceListPollInterval);
        this->instanceListTimer.async_wait([this](const std::error_code& error) {
            if (!error)
                this->pollInstanceList();
        });
    });
}

void EntryCore::updateTargets()
{
    // The log may be unavailable, so an entry without a configuration requests one from a few agents.
    std::size_t subsetSize = subsetSizeWithoutConfiguration;
    if (this->configuration)
        subsetSize = static_cast<std::size_t>(this->configuration->document.limits.subsetSize);
    std::vector<Membership::Instance> instances;
    for (const Membership::InstanceView& view : this->directory.view()) {
        if (!this->configuration || this->configuration->document.findUpstream(view.instance.upstream))
            instances.push_back(view.instance);
    }
    const std::vector<std::string> chosen
        = Membership::chooseSubset(this->settings.process.instance, instances, subsetSize);
    std::erase_if(instances,
        [&chosen](const Membership::Instance& instance) { return !std::ranges::binary_search(chosen, instance.id); });
    this->links.setTargets(instances);
}

void EntryCore::publishRoutingTable()
{
    if (!this->configuration)
        return;
    auto next = std::make_shared<RoutingTable>(this->configuration, this->settings.process.failureDomain);
    for (const Configuration::ModelDefinition& model : this->configuration->document.models) {
        ModelRoute route;
        static_cast<Route&>(route) = this->routeFor(model.upstreams);
        route.estimator = this->estimatorFor(model);
        next->models.emplace(model.name, std::move(route));
    }
    for (const Configuration::ServiceDefinition& service : this->configuration->document.services)
        next->services.emplace(service.name, this->routeFor({ service.upstream }));
    next->selector = std::make_shared<Routing::ConfiguredSelector>(this->configuration->document.policies);
    this->table.publish(std::move(next));
}

void EntryCore::publishSuspectTable()
{
    auto next = std::make_shared<SuspectTable>();
    for (const Quarantine::CrashNotice& notice : this->suspects.notices()) {
        next->quarantineStatuses[notice.fingerprint] = this->suspects.status(notice.fingerprint);
        const std::string crash = this->suspects.suspectCrash(notice.fingerprint);
        if (!crash.empty())
            next->crashes[notice.fingerprint] = crash;
    }
    this->suspectTable.publish(std::move(next));
}

void EntryCore::maintainLinks()
{
    this->links.maintain(this->versionInForce.load(), this->settings.process.connectionTimeout);
    this->heartbeatTimer.expires_after(this->settings.process.heartbeatInterval);
    this->heartbeatTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            this->maintainLinks();
    });
}

void EntryCore::waitUntilIdle()
{
    if (this->activeRequests.load() == 0 || !Foundation::isEnabled(Foundation::Mechanism::GracefulShutdown)) {
        this->onIdle();
        return;
    }
    this->idleTimer.expires_after(idlePollInterval);
    this->idleTimer.async_wait([this](const std::error_code& error) {
        if (!error)
            this->waitUntilIdle();
    });
}

std::shared_ptr<Routing::TokenEstimator> EntryCore::estimatorFor(const Configuration::ModelDefinition& model)
{
    auto& estimator = this->estimators[model.name];
    if (!estimator)
        estimator = std::make_shared<Routing::TokenEstimator>(model.bytesPerToken);
    return estimator;
}

Route EntryCore::routeFor(const std::vector<std::string>& upstreams) const
{
    Route route;
    for (const std::string& upstream : upstreams)
        route.upstreamCount += this->directory.countForUpstream(upstream);
    for (const AgentLinkPtr& link : this->links.links()) {
        const Membership::Instance& instance = link->instance();
        const bool serves = std::ranges::find(upstreams, instance.upstream) != upstreams.end();
        const bool isTakenOut = this->configuration->state.isTakenOut(instance.id, instance.failureDomain);
        if (!serves || (isTakenOut && Foundation::isEnabled(Foundation::Mechanism::TakeOut)))
            continue;
        const bool isDraining = instance.state == Membership::ListedState::Draining;
        if (isDraining && Foundation::isEnabled(Foundation::Mechanism::Leaving))
            continue;
        route.links.push_back(link);
    }
    return route;
}

} // namespace Entry
