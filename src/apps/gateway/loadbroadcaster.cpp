#include "loadbroadcaster.h"

#include "loadmerge.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using Wire::LoadUpdate;
using Wire::UpdateScope;

// Up to this many gateways send their updates directly: a load relay would save little traffic and add its delay.
constexpr std::size_t maximumDirectProcesses = 8;
// A load relay batches updates for this time, which is about the prefill time of a short prompt.
constexpr Duration minimumBatchInterval = std::chrono::milliseconds(15);
// Up to this many gateways, one load relay in each failure domain serves all, and every heartbeat has the complete
// load.
constexpr std::size_t maximumUngroupedProcesses = 100;
// The number of gateways of a failure domain whose updates one load relay forwards. It sends about this many times what
// every gateway receives.
constexpr std::size_t groupSize = 4;
// In groups, a load relay batches updates for this time per receiver, so that it sends about a thousand messages a
// second. The maximum is below the keep-alive interval.
constexpr Duration batchIntervalPerReceiver = std::chrono::milliseconds(1);
constexpr Duration maximumBatchInterval = std::chrono::milliseconds(120);
// A failed load relay is noticed after 600 ms; this includes its last batches and slow machines.
constexpr Duration resendTime = std::chrono::milliseconds(1'000);
// While a fleet starts, the relays change with each gateway that connects; changes are sent again at this interval.
constexpr Duration resendInterval = std::chrono::milliseconds(500);
// A load relay without updates sends an empty one at this interval, so that other processes see that it is alive.
constexpr Duration keepAliveInterval = std::chrono::milliseconds(150);
// A process keeps working as load relay for this time after another process last used it as one.
constexpr Duration relayDutyTime = std::chrono::seconds(3);

} // namespace

LoadBroadcaster::LoadBroadcaster(const Foundation::Clock& clock, Membership::LoadRelayCandidate self,
    Membership::LoadRelaySelector& relaySelector, Handlers handlers)
    : clock(clock)
    , self(std::move(self))
    , relaySelector(relaySelector)
    , handlers(std::move(handlers))
{
}

void LoadBroadcaster::SentLoads::add(TimePoint now, const std::vector<Wire::PeerLoad>& newLoads)
{
    while (!this->loads.empty() && now - this->loads.front().first > resendTime)
        this->loads.pop_front();
    for (const Wire::PeerLoad& load : newLoads)
        this->loads.emplace_back(now, load);
}

std::vector<Wire::PeerLoad> LoadBroadcaster::SentLoads::recent(TimePoint now)
{
    this->add(now, {});
    std::vector<Wire::PeerLoad> recentLoads;
    for (const auto& [sent, load] : this->loads)
        recentLoads.push_back(load);
    return recentLoads;
}

std::size_t LoadBroadcaster::processCount() const
{
    std::size_t count = 0;
    for (const auto& [domain, processes] : this->relaySelector.candidatesByDomain())
        count += processes.size();
    return count;
}

bool LoadBroadcaster::sendsDirectly() const { return this->processCount() <= maximumDirectProcesses; }

bool LoadBroadcaster::hasGroups() const { return this->processCount() > maximumUngroupedProcesses; }

std::size_t LoadBroadcaster::completeLoadRounds() const
{
    return 1 + (this->processCount() - 1) / maximumUngroupedProcesses;
}

std::size_t LoadBroadcaster::groupCount() const
{
    if (!this->hasGroups())
        return 1;
    const std::size_t domains = this->relaySelector.candidatesByDomain().size();
    return std::max<std::size_t>(1, this->processCount() / domains / groupSize);
}

Duration LoadBroadcaster::batchInterval() const
{
    const auto domain = this->relaySelector.candidatesByDomain().find(this->self.failureDomain);
    if (!this->hasGroups() || domain == this->relaySelector.candidatesByDomain().end())
        return minimumBatchInterval;
    return std::clamp<Duration>(
        batchIntervalPerReceiver * static_cast<int>(domain->second.size()), minimumBatchInterval, maximumBatchInterval);
}

std::string LoadBroadcaster::selectRelay(std::string_view failureDomain, TimePoint now)
{
    const std::size_t groups = this->groupCount();
    const std::size_t group = groups == 1 ? 0 : this->relaySelector.domainRank() % groups;
    return this->relaySelector.selectRelay(failureDomain, now, group, groups);
}

bool LoadBroadcaster::isLoadRelay(TimePoint now)
{
    const bool isInUse = this->lastRelayRequest != TimePoint {} && now - this->lastRelayRequest < relayDutyTime;
    return isInUse || this->selectRelay(this->self.failureDomain, now) == this->self.process;
}

void LoadBroadcaster::publish(Wire::PeerLoad load)
{
    if (this->sendsDirectly()) {
        this->handlers.broadcast(LoadUpdate { UpdateScope::Receiver, { std::move(load) } }, false);
        return;
    }
    const TimePoint now = this->clock.now();
    this->sendToRelay(this->self.failureDomain, LoadUpdate { UpdateScope::AllGateways, { std::move(load) } },
        this->publishedLoads, now);
}

void LoadBroadcaster::sendToRelay(const std::string& failureDomain, LoadUpdate update, SentLoads& sent, TimePoint now)
{
    const std::string relay = this->selectRelay(failureDomain, now);
    if (this->hasGroups()) {
        sent.add(now, update.loads);
        RelayInUse& inUse = this->relaysInUse[failureDomain];
        if (inUse.process.empty())
            inUse.process = relay;
        if (isResendDue(inUse, relay, now)) {
            update.loads = mergeLoads(sent.recent(now));
            inUse = { relay, now };
        }
    }
    if (relay != this->self.process) {
        this->handlers.send(relay, update);
        return;
    }
    std::ranges::move(update.loads, std::back_inserter(this->domainLoads));
    this->flushIfDue(now);
}

bool LoadBroadcaster::isResendDue(const RelayInUse& inUse, std::string_view relay, TimePoint now)
{
    return inUse.process != relay && now - inUse.lastResend >= resendInterval;
}

void LoadBroadcaster::resendIfReplaced(TimePoint now)
{
    const auto inUse = this->relaysInUse.find(this->self.failureDomain);
    if (inUse == this->relaysInUse.end()
        || !isResendDue(inUse->second, this->selectRelay(this->self.failureDomain, now), now))
        return;
    if (!this->publishedLoads.recent(now).empty())
        this->sendToRelay(
            this->self.failureDomain, LoadUpdate { UpdateScope::AllGateways, {} }, this->publishedLoads, now);
}

void LoadBroadcaster::onUpdate(std::string_view sender, LoadUpdate update)
{
    const TimePoint now = this->clock.now();
    for (const Wire::PeerLoad& load : update.loads)
        this->handlers.onLoad(load);
    if (update.scope == UpdateScope::AllGateways)
        this->lastRelayRequest = now;
    else
        this->relaySelector.recordUpdate(sender, now);
    if (update.scope == UpdateScope::Receiver)
        return;
    auto& pending = update.scope == UpdateScope::AllGateways ? this->domainLoads : this->otherDomainLoads;
    std::ranges::move(update.loads, std::back_inserter(pending));
    this->flushIfDue(now);
}

void LoadBroadcaster::tick()
{
    const TimePoint now = this->clock.now();
    if (this->hasGroups())
        this->resendIfReplaced(now);
    this->flushIfDue(now);
    if (!this->sendsDirectly() && now - this->lastFlush >= keepAliveInterval && this->isLoadRelay(now))
        this->flush(now);
}

void LoadBroadcaster::flushIfDue(TimePoint now)
{
    const bool hasUpdates = !this->domainLoads.empty() || !this->otherDomainLoads.empty();
    if (hasUpdates && now - this->lastFlush >= this->batchInterval())
        this->flush(now);
}

void LoadBroadcaster::flush(TimePoint now)
{
    this->lastFlush = now;
    LoadUpdate domainUpdate { UpdateScope::FailureDomain, std::exchange(this->domainLoads, {}) };
    if (this->hasGroups())
        domainUpdate.loads = mergeLoads(std::move(domainUpdate.loads));
    std::vector<std::string> otherDomains;
    for (const auto& [domain, processes] : this->relaySelector.candidatesByDomain()) {
        if (domain != this->self.failureDomain)
            otherDomains.push_back(domain);
    }
    for (const std::string& domain : otherDomains)
        this->sendToRelay(domain, domainUpdate, this->forwardedLoads[domain], now);
    LoadUpdate localUpdate { UpdateScope::Receiver, std::move(domainUpdate.loads) };
    std::ranges::move(this->otherDomainLoads, std::back_inserter(localUpdate.loads));
    this->otherDomainLoads.clear();
    if (this->hasGroups())
        localUpdate.loads = mergeLoads(std::move(localUpdate.loads));
    this->handlers.broadcast(localUpdate, true);
}

} // namespace Gateway
