#include "dispatcher.h"

#include <foundation/identifier.h>

#include <algorithm>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using Membership::Upstream;

// A cold upstream's bound is kept with some room, since requests sent at different times may arrive together.
constexpr double coldRoom = 0.8;
// The way to another failure domain counts like this part of a request under way, so that ties stay near.
constexpr double farPenalty = 0.3;
constexpr std::uint64_t chanceSteps = 1'000;
// Processes that use the last slots of one engine, on average. As many slots are left when they are the last ones.
constexpr double processesThatFill = 4;

} // namespace

Dispatcher::Dispatcher(const Foundation::Clock& clock, Membership::UpstreamDirectory& directory,
    Relay::UpstreamHealth& health, Placement::LoadLedger& ledger,
    std::map<std::string, std::string, std::less<>> regionByFailureDomain, std::string failureDomain,
    std::string_view process)
    : clock(clock)
    , directory(directory)
    , health(health)
    , ledger(ledger)
    , regionByFailureDomain(std::move(regionByFailureDomain))
    , failureDomain(std::move(failureDomain))
    , processHash(Foundation::hashOf(process))
{
}

void Dispatcher::setPolicy(std::shared_ptr<const Policy::TrafficPolicy> newPolicy)
{
    this->policy = std::move(newPolicy);
    for (const Policy::ServiceProfile& service : this->policy->services()) {
        if (service.engine)
            this->lines.try_emplace(service.name, Placement::EngineModel(*service.engine));
    }
}

void Dispatcher::setProcessCount(std::size_t count)
{
    this->processCount = count;
    this->startLimiter.setProcessCount(count);
}

void Dispatcher::setColdBound(double factor, double slack)
{
    this->coldFactor = factor;
    this->coldSlack = slack;
}

bool Dispatcher::isEngineService(std::string_view service) const
{
    const Policy::ServiceProfile* const profile = this->policy ? this->policy->findService(service) : nullptr;
    return profile && profile->engine;
}

bool Dispatcher::isInRegions(const Upstream& upstream, const std::vector<std::string>& regions) const
{
    if (regions.empty())
        return true;
    const auto found = this->regionByFailureDomain.find(upstream.entry.failureDomain);
    return found != this->regionByFailureDomain.end() && std::ranges::find(regions, found->second) != regions.end();
}

bool Dispatcher::mayStart(const Upstream& upstream, TimePoint now)
{
    if (now >= upstream.coldUntil)
        return true;
    const Policy::ServiceProfile* const profile
        = this->policy ? this->policy->findService(upstream.entry.service) : nullptr;
    if (!profile || profile->coldStartsPerSecond <= 0)
        return true;
    const double bound = coldRoom * (profile->coldStartsPerSecond * this->coldFactor + this->coldSlack);
    return this->startLimiter.allows(upstream.runName(), bound, now);
}

std::vector<const Upstream*> Dispatcher::usableOf(const CallDemand& demand)
{
    const TimePoint now = this->clock.now();
    std::vector<const Upstream*> listed = this->directory.usable(demand.service);
    std::erase_if(listed, [&](const Upstream* upstream) { return !this->isInRegions(*upstream, demand.regions); });
    std::vector<const Upstream*> healthy = listed;
    std::erase_if(healthy, [&](const Upstream* upstream) { return !this->health.isUsable(upstream->runName(), now); });
    // If every upstream failed lately, one of them may have recovered.
    return healthy.empty() ? listed : healthy;
}

std::optional<Assignment> Dispatcher::assignCall(const CallDemand& demand)
{
    const TimePoint now = this->clock.now();
    const Upstream* chosen = nullptr;
    double lowest = 0;
    for (const Upstream* const upstream : this->usableOf(demand)) {
        if (demand.tried.contains(upstream->runName()) || !this->mayStart(*upstream, now))
            continue;
        const auto underWay = static_cast<double>(this->ledger.loadOf(upstream->entry.id).requests);
        const double slots = std::max(1, upstream->entry.slots);
        const double distance = upstream->entry.failureDomain == this->failureDomain ? 0 : farPenalty;
        const double cost = this->health.slowness(upstream->runName()) * (underWay + 1 + distance) / slots;
        if (!chosen || cost < lowest) {
            chosen = upstream;
            lowest = cost;
        }
    }
    if (!chosen)
        return std::nullopt;
    this->startLimiter.noteSent(chosen->runName(), now);
    Placement::Job job;
    job.upstream = chosen->entry.id;
    return Assignment { chosen->entry.id, chosen->runName(), chosen->entry.address, {},
        this->ledger.begin(std::move(job)), {} };
}

Placement::WaitingId Dispatcher::enqueue(PromptTicket ticket)
{
    const auto line = this->lines.find(ticket.call.service);
    if (line == this->lines.end())
        return 0;
    const Placement::WaitingId id = ++this->lastId;
    ticket.prompt.id = id;
    ticket.prompt.demand.weight = Placement::weightOf(ticket.prompt.demand.promptTokens);
    line->second.add(ticket.prompt);
    this->tickets.emplace(id, std::move(ticket));
    return id;
}

void Dispatcher::withdraw(Placement::WaitingId id)
{
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end())
        return;
    this->lines.find(found->second.call.service)->second.remove(id);
    this->tickets.erase(found);
}

void Dispatcher::review()
{
    // What a decision calls may ask for another review; this one goes on with its result.
    if (this->isReviewing)
        return;
    this->isReviewing = true;
    const TimePoint now = this->clock.now();
    for (auto& [service, line] : this->lines) {
        if (line.size() == 0)
            continue;
        const std::size_t engines = this->usableOf({ service, {}, {} }).size();
        line.review(now, engines,
            { [this](const Placement::WaitingPrompt& prompt) -> std::optional<Placement::PromptPlacement> {
                 const auto ticket = this->tickets.find(prompt.id);
                 return ticket == this->tickets.end() ? std::nullopt : this->place(prompt, ticket->second);
             },
                [this](Placement::WaitingId id, const Placement::PromptPlacement& placement) {
                    this->dispatch(id, placement);
                },
                [this](Placement::WaitingId id, Foundation::ResultCode code, Duration retryAfter) {
                    this->refuse(id, code, retryAfter);
                } });
    }
    this->isReviewing = false;
}

bool Dispatcher::mayFill(const Upstream& upstream) const
{
    const double share = processesThatFill / static_cast<double>(std::max<std::size_t>(1, this->processCount));
    const std::uint64_t draw = Foundation::hashOf(upstream.entry.id, this->processHash) % chanceSteps;
    return static_cast<double>(draw) < share * chanceSteps;
}

std::optional<Placement::PromptPlacement> Dispatcher::place(
    const Placement::WaitingPrompt& prompt, const PromptTicket& ticket)
{
    const TimePoint now = this->clock.now();
    this->placedOver = this->usableOf(ticket.call);
    std::vector<Placement::EngineCandidate> candidates;
    candidates.reserve(this->placedOver.size());
    for (const Upstream* const upstream : this->placedOver) {
        Placement::EngineCandidate candidate;
        candidate.load = &this->ledger.loadOf(upstream->entry.id);
        candidate.readingLeft = this->ledger.readingLeft(upstream->entry.id);
        candidate.slots = upstream->entry.slots;
        candidate.chance = static_cast<double>(Foundation::randomBelow(chanceSteps)) / chanceSteps;
        candidate.slowness = this->health.slowness(upstream->runName());
        candidate.mayFill = this->mayFill(*upstream);
        const bool isCold = now < upstream->coldUntil;
        candidate.mayRun = !ticket.call.tried.contains(upstream->runName()) && this->mayStart(*upstream, now);
        // Whether parts count against the start-up bound is not known, so cold engines help nobody.
        candidate.mayHelp = !isCold && !upstream->missingUntil && this->health.mayHelp(upstream->runName(), now);
        candidates.push_back(candidate);
    }
    Placement::PromptDemand demand = prompt.demand;
    demand.isLoadKnown = this->isLoadKnown;
    return Placement::placePrompt(this->lines.find(ticket.call.service)->second.model(), candidates, demand);
}

void Dispatcher::dispatch(Placement::WaitingId id, const Placement::PromptPlacement& placement)
{
    const auto found = this->tickets.find(id);
    const PromptTicket ticket = std::move(found->second);
    this->tickets.erase(found);
    const Upstream& upstream = *this->placedOver.at(placement.upstream);
    this->startLimiter.noteSent(upstream.runName(), this->clock.now());
    const std::int64_t partUs = std::chrono::duration_cast<std::chrono::microseconds>(placement.partTime).count();
    Placement::Job job;
    job.upstream = upstream.entry.id;
    job.tokens = placement.tokens;
    job.gapMs = Foundation::toMilliseconds(ticket.prompt.demand.gap);
    job.weight = static_cast<std::int64_t>(ticket.prompt.demand.weight * 1e3);
    job.parts.push_back({ upstream.entry.id, partUs, 0 });
    Assignment assignment { upstream.entry.id, upstream.runName(), upstream.entry.address, {}, 0,
        placement.firstEvent };
    for (const Placement::PlacedHelper& helper : placement.helpers) {
        const Membership::UpstreamEntry& entry = this->placedOver[helper.index]->entry;
        job.parts.push_back({ entry.id, partUs, helper.heldTokens });
        assignment.helpers.push_back({ entry.id, entry.address, helper.heldTokens });
    }
    assignment.job = this->ledger.begin(std::move(job));
    ticket.onAssigned(assignment);
}

void Dispatcher::refuse(Placement::WaitingId id, Foundation::ResultCode code, Duration retryAfter)
{
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end())
        return;
    const PromptTicket ticket = std::move(found->second);
    this->tickets.erase(found);
    ticket.onRefused(code, retryAfter);
}

} // namespace Gateway
