#include "loadbroadcaster.h"

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
constexpr Duration batchInterval = std::chrono::milliseconds(15);
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

bool LoadBroadcaster::sendsDirectly() const
{
    std::size_t count = 0;
    for (const auto& [domain, processes] : this->relaySelector.candidatesByDomain())
        count += processes.size();
    return count <= maximumDirectProcesses;
}

bool LoadBroadcaster::isLoadRelay(TimePoint now)
{
    const bool isInUse = this->lastRelayRequest != TimePoint {} && now - this->lastRelayRequest < relayDutyTime;
    return isInUse || this->relaySelector.selectRelay(this->self.failureDomain, now) == this->self.process;
}

void LoadBroadcaster::publish(Wire::PeerLoad load)
{
    if (this->sendsDirectly()) {
        this->handlers.broadcast(LoadUpdate { UpdateScope::Receiver, { std::move(load) } }, false);
        return;
    }
    const TimePoint now = this->clock.now();
    const std::string loadRelay = this->relaySelector.selectRelay(this->self.failureDomain, now);
    if (loadRelay != this->self.process) {
        this->handlers.send(loadRelay, LoadUpdate { UpdateScope::AllGateways, { std::move(load) } });
        return;
    }
    this->domainLoads.push_back(std::move(load));
    this->flushIfDue(now);
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
    this->flushIfDue(now);
    if (!this->sendsDirectly() && now - this->lastFlush >= keepAliveInterval && this->isLoadRelay(now))
        this->flush(now);
}

void LoadBroadcaster::flushIfDue(TimePoint now)
{
    const bool hasUpdates = !this->domainLoads.empty() || !this->otherDomainLoads.empty();
    if (hasUpdates && now - this->lastFlush >= batchInterval)
        this->flush(now);
}

void LoadBroadcaster::flush(TimePoint now)
{
    this->lastFlush = now;
    LoadUpdate domainUpdate { UpdateScope::FailureDomain, std::exchange(this->domainLoads, {}) };
    std::vector<std::string> otherDomains;
    for (const auto& [domain, processes] : this->relaySelector.candidatesByDomain()) {
        if (domain != this->self.failureDomain)
            otherDomains.push_back(domain);
    }
    for (const std::string& domain : otherDomains)
        this->handlers.send(this->relaySelector.selectRelay(domain, now), domainUpdate);
    LoadUpdate localUpdate { UpdateScope::Receiver, std::move(domainUpdate.loads) };
    std::ranges::move(this->otherDomainLoads, std::back_inserter(localUpdate.loads));
    this->otherDomainLoads.clear();
    this->handlers.broadcast(localUpdate, true);
}

} // namespace Gateway
