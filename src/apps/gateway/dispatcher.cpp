#include "dispatcher.h"

#include <foundation/identifier.h>

#include <algorithm>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using Membership::Upstream;

// Only this part of a cold upstream's limit is used, since requests sent at different times may arrive together.
constexpr double coldStartLimitFraction = 0.8;
// An upstream in another failure domain counts as if it had this part of a request more in flight, so that ties are
// decided for the local domain.
constexpr double remoteDomainPenalty = 0.3;
// The resolution of random draws in [0, 1).
constexpr std::uint64_t drawSteps = 1'000;
// The average number of processes that may use the last free slots of an engine. Equals the number of those slots, so
// that processes that see the same free slots at the same time do not exceed them.
constexpr double lastSlotProcesses = 4;

// Keeps the time of an answer whose caller allows any length from overflowing.
constexpr std::int64_t maximumCountedOutputTokens = 1'000'000;

} // namespace

Dispatcher::Dispatcher(const Foundation::Clock& clock, Membership::UpstreamDirectory& directory,
    Relay::UpstreamHealth& health, Placement::LoadLedger& ledger, PermitExchange& permits, CrowdPlacement& crowds,
    std::map<std::string, std::string, std::less<>> regionByFailureDomain, std::string failureDomain,
    std::string_view process)
    : clock(clock)
    , directory(directory)
    , health(health)
    , ledger(ledger)
    , permits(permits)
    , crowds(crowds)
    , regionByFailureDomain(std::move(regionByFailureDomain))
    , failureDomain(std::move(failureDomain))
    , processHash(Foundation::hash64(process))
{
}

void Dispatcher::setPolicy(std::shared_ptr<const Policy::TrafficPolicy> newPolicy)
{
    this->policy = std::move(newPolicy);
    for (const Policy::ServiceProfile& service : this->policy->services()) {
        if (service.engine)
            this->queues.try_emplace(service.name, Placement::EngineModel(*service.engine));
    }
    this->applyContentionPolicy();
}

void Dispatcher::setProcessCount(std::size_t count)
{
    this->processCount = count;
    this->coldStartLimiter.setProcessCount(count);
}

void Dispatcher::setColdStartLimit(double factor, double allowance)
{
    this->coldStartFactor = factor;
    this->coldStartAllowance = allowance;
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

bool Dispatcher::isWithinColdStartLimit(const Upstream& upstream, TimePoint now)
{
    if (now >= upstream.coldUntil)
        return true;
    const Policy::ServiceProfile* const profile
        = this->policy ? this->policy->findService(upstream.entry.service) : nullptr;
    if (!profile || profile->coldStartsPerSecond <= 0)
        return true;
    const double limit
        = coldStartLimitFraction * (profile->coldStartsPerSecond * this->coldStartFactor + this->coldStartAllowance);
    return this->coldStartLimiter.allows(upstream.generationId(), limit, now);
}

std::vector<const Upstream*> Dispatcher::listedUpstreams(const UpstreamCriteria& criteria) const
{
    std::vector<const Upstream*> listed = this->directory.acceptingUpstreams(criteria.service);
    std::erase_if(listed, [&](const Upstream* upstream) { return !this->isInRegions(*upstream, criteria.regions); });
    return listed;
}

Duration Dispatcher::pauseLeft(const UpstreamCriteria& criteria) const
{
    const TimePoint now = this->clock.now();
    std::optional<Duration> shortest;
    for (const Upstream* const upstream : this->listedUpstreams(criteria)) {
        const Duration left = this->health.pauseLeft(upstream->generationId(), now);
        shortest = std::min(left, shortest.value_or(left));
    }
    return shortest.value_or(Duration::zero());
}

std::vector<const Upstream*> Dispatcher::usableUpstreams(const UpstreamCriteria& criteria)
{
    const TimePoint now = this->clock.now();
    std::vector<const Upstream*> listed = this->listedUpstreams(criteria);
    std::erase_if(listed, [&](const Upstream* upstream) {
        return this->health.pauseLeft(upstream->generationId(), now) > Duration::zero();
    });
    std::vector<const Upstream*> healthy = listed;
    std::erase_if(
        healthy, [&](const Upstream* upstream) { return !this->health.isUsable(upstream->generationId(), now); });
    // If all upstreams are ejected, one of them may have recovered.
    return healthy.empty() ? listed : healthy;
}

bool Dispatcher::canReceive(const Upstream& upstream, const UpstreamCriteria& criteria, TimePoint now)
{
    const std::string& generation = upstream.generationId();
    return !criteria.triedGenerations.contains(generation) && this->isWithinColdStartLimit(upstream, now)
        && this->permits.allows(generation);
}

void Dispatcher::countRequest(std::string_view upstreamGeneration)
{
    this->coldStartLimiter.countRequest(upstreamGeneration, this->clock.now());
    this->permits.countRequest(upstreamGeneration);
}

bool Dispatcher::tryAssignAgain(const Assignment& assignment, const UpstreamCriteria& criteria)
{
    const std::vector<const Upstream*> usable = this->usableUpstreams(criteria);
    const auto found = std::ranges::find(usable, assignment.upstreamGeneration, &Upstream::generationId);
    if (found == usable.end() || !this->canReceive(**found, criteria, this->clock.now()))
        return false;
    this->countRequest(assignment.upstreamGeneration);
    return true;
}

std::vector<std::string> Dispatcher::upstreamsThatNeedPermits(const UpstreamCriteria& criteria)
{
    if (!this->permits.hasLimits())
        return {};
    const TimePoint now = this->clock.now();
    std::vector<std::string> limited;
    for (const Upstream* const upstream : this->usableUpstreams(criteria)) {
        const std::string& generation = upstream->generationId();
        if (criteria.triedGenerations.contains(generation) || !this->isWithinColdStartLimit(*upstream, now))
            continue;
        if (!this->permits.isLimited(generation) || this->permits.hasPermit(generation))
            return {};
        limited.push_back(generation);
    }
    // Requests that arrive together are spread.
    if (!limited.empty())
        std::rotate(limited.begin(),
            limited.begin() + static_cast<std::ptrdiff_t>(Foundation::randomBelow(limited.size())), limited.end());
    return limited;
}

const Upstream* Dispatcher::chooseUpstream(const UpstreamCriteria& criteria)
{
    const TimePoint now = this->clock.now();
    const Upstream* chosen = nullptr;
    double lowestCost = 0;
    for (const Upstream* const upstream : this->usableUpstreams(criteria)) {
        if (!this->canReceive(*upstream, criteria, now))
            continue;
        const auto inFlight = static_cast<double>(this->ledger.totalUsage(upstream->entry.id).requests);
        const double slots = std::max(1, upstream->entry.slots);
        const double distance = upstream->entry.failureDomain == this->failureDomain ? 0 : remoteDomainPenalty;
        const double cost = this->health.slowdownFactor(upstream->generationId()) * (inFlight + 1 + distance) / slots;
        if (!chosen || cost < lowestCost) {
            chosen = upstream;
            lowestCost = cost;
        }
    }
    return chosen;
}

std::optional<Assignment> Dispatcher::assignCall(const UpstreamCriteria& criteria)
{
    const Upstream* const chosen = this->chooseUpstream(criteria);
    if (!chosen)
        return std::nullopt;
    this->countRequest(chosen->generationId());
    Placement::DispatchedRequest request;
    request.upstream = chosen->entry.id;
    return Assignment { chosen->entry.id, chosen->generationId(), chosen->entry.address, {},
        this->ledger.addRequest(std::move(request)), {}, {}, false };
}

Placement::QueuedPromptId Dispatcher::enqueue(PendingPrompt pending)
{
    const auto queue = this->queues.find(pending.criteria.service);
    if (queue == this->queues.end())
        return 0;
    const Placement::QueuedPromptId id = ++this->lastQueuedPromptId;
    pending.prompt.id = id;
    pending.prompt.demand.weight = Placement::promptWeight(pending.prompt.demand.promptTokens);
    if (Placement::ContentionPolicy* const contention = this->contentionPolicy(pending.criteria.service))
        contention->recordArrival(pending.prompt.demand, this->clock.now());
    queue->second.add(pending.prompt);
    this->pendingPrompts.emplace(id, std::move(pending));
    return id;
}

void Dispatcher::withdraw(Placement::QueuedPromptId id)
{
    const auto found = this->pendingPrompts.find(id);
    if (found == this->pendingPrompts.end())
        return;
    this->queues.find(found->second.criteria.service)->second.remove(id);
    this->pendingPrompts.erase(found);
}

void Dispatcher::schedule()
{
    // Callbacks may call this function again; the loop below continues with the load that they leave.
    if (this->isScheduling)
        return;
    this->isScheduling = true;
    const TimePoint now = this->clock.now();
    for (auto& [service, queue] : this->queues) {
        if (Placement::ContentionPolicy* const contention = this->contentionPolicy(service))
            contention->observe(now, [this, &name = service] { return this->listEngines({ name, {}, {} }); });
        if (queue.size() == 0)
            continue;
        const std::size_t engineCount = this->usableUpstreams({ service, {}, {} }).size();
        queue.schedule(now, engineCount, this->queueActions(service));
    }
    this->isScheduling = false;
}

bool Dispatcher::canUseLastSlots(const Upstream& upstream) const
{
    const double fraction = lastSlotProcesses / static_cast<double>(std::max<std::size_t>(1, this->processCount));
    const std::uint64_t draw = Foundation::hash64(upstream.entry.id, this->processHash) % drawSteps;
    return static_cast<double>(draw) < fraction * drawSteps;
}

std::optional<Placement::PromptPlacement> Dispatcher::place(
    const Placement::QueuedPrompt& prompt, const PendingPrompt& pending)
{
    const TimePoint now = this->clock.now();
    this->placementUpstreams = this->usableUpstreams(pending.criteria);
    std::vector<Placement::EngineCandidate> candidates;
    candidates.reserve(this->placementUpstreams.size());
    for (const Upstream* const upstream : this->placementUpstreams) {
        Placement::EngineCandidate candidate;
        candidate.usage = &this->ledger.totalUsage(upstream->entry.id);
        candidate.remainingPrefill = this->ledger.remainingPrefill(upstream->entry.id);
        candidate.slots = upstream->entry.slots;
        candidate.tieBreaker = static_cast<double>(Foundation::randomBelow(drawSteps)) / drawSteps;
        candidate.slowdownFactor = this->health.slowdownFactor(upstream->generationId());
        candidate.canUseLastSlots = this->canUseLastSlots(*upstream);
        const bool isCold = now < upstream->coldUntil;
        candidate.canRun = this->canReceive(*upstream, pending.criteria, now);
        // It is not known whether a prefilled part counts towards the cold-start limit, or towards a limit that the
        // engine names, so such engines are not used as helpers.
        candidate.canHelp = !isCold && !upstream->missingUntil && !this->permits.isLimited(upstream->generationId())
            && this->health.canHelp(upstream->generationId(), now);
        candidates.push_back(candidate);
    }
    Placement::PromptDemand demand = prompt.demand;
    demand.isPeerLoadAvailable = this->isPeerLoadAvailable;
    if (!candidates.empty())
        demand.crowd = this->crowds.expectation(candidates.front().slots);
    demand.isContended = this->isContended(pending.criteria.service);
    const bool usesCorrections
        = demand.crowd && Placement::isShortPrompt(this->queues.find(pending.criteria.service)->second.model(), demand);
    for (std::size_t i = 0; usesCorrections && i < candidates.size(); ++i)
        candidates[i].delayCorrection
            = this->crowds.delayCorrection(this->placementUpstreams[i]->generationId(), candidates[i].slots);
    if (const Placement::ContentionPolicy* const contention = this->contentionPolicy(pending.criteria.service))
        demand.enginesOpenToLongPrompts = contention->openEngineCount(demand);
    return Placement::placePrompt(this->queues.find(pending.criteria.service)->second.model(), candidates, demand);
}

bool Dispatcher::hasRoom(const PendingPrompt& pending)
{
    if (!this->isEngineService(pending.criteria.service))
        return this->chooseUpstream(pending.criteria) != nullptr;
    const TimePoint now = this->clock.now();
    Placement::QueuedPrompt prompt = pending.prompt;
    prompt.demand.weight = Placement::promptWeight(prompt.demand.promptTokens);
    prompt.demand.timeToFirstEventTarget = prompt.firstEventTargetAt - now;
    const auto placement = this->place(prompt, pending);
    return placement && now + placement->timeToFirstEvent <= prompt.callerTimeoutAt;
}

Duration Dispatcher::minimumAnswerTime(
    std::string_view service, std::int64_t promptTokens, std::int64_t outputTokens) const
{
    const auto queue = this->queues.find(service);
    if (queue == this->queues.end())
        return Duration::zero();
    const Placement::EngineModel& model = queue->second.model();
    const std::size_t engines = this->directory.acceptingUpstreams(service).size();
    const std::int64_t cycles
        = std::min(outputTokens, maximumCountedOutputTokens) / std::max(1, model.profile().stepsPerCycle);
    return Placement::minimumTimeToFirstEvent(model, promptTokens, engines)
        + cycles * model.decodeCycleTime(1, promptTokens);
}

void Dispatcher::dispatch(Placement::QueuedPromptId id, const Placement::PromptPlacement& placement)
{
    const auto found = this->pendingPrompts.find(id);
    const PendingPrompt pending = std::move(found->second);
    this->pendingPrompts.erase(found);
    const Upstream& upstream = *this->placementUpstreams.at(placement.runnerIndex);
    this->countRequest(upstream.generationId());
    this->crowds.recordDispatch(placement);
    const std::int64_t partPrefillUs
        = std::chrono::duration_cast<std::chrono::microseconds>(placement.partPrefillTime).count();
    Placement::DispatchedRequest request;
    request.upstream = upstream.entry.id;
    request.reservedTokens = placement.reservedTokens;
    request.eventGapTargetMs = Foundation::toMilliseconds(pending.prompt.demand.eventGapTarget);
    request.weight = static_cast<std::int64_t>(pending.prompt.demand.weight * 1e3);
    request.parts.push_back({ upstream.entry.id, partPrefillUs, 0 });
    Assignment assignment { upstream.entry.id, upstream.generationId(), upstream.entry.address, {}, 0,
        placement.timeToFirstEvent + placement.estimatedDelay, {}, false };
    assignment.isShortPrompt
        = Placement::isShortPrompt(this->queues.find(pending.criteria.service)->second.model(), pending.prompt.demand);
    if (assignment.isShortPrompt)
        assignment.delayCorrection = this->crowds.delayCorrection(upstream.generationId(), upstream.entry.slots);
    assignment.expectedFirstEventDelay += assignment.delayCorrection;
    for (const Placement::PrefillHelper& helper : placement.helpers) {
        const Membership::UpstreamEntry& entry = this->placementUpstreams[helper.index]->entry;
        request.parts.push_back({ entry.id, partPrefillUs, helper.reservedTokens });
        assignment.helpers.push_back({ entry.id, entry.address, helper.reservedTokens });
    }
    assignment.dispatchedRequestId = this->ledger.addRequest(std::move(request));
    pending.onAssigned(assignment);
}

void Dispatcher::recordFirstEvent(const Assignment& assignment, Duration measured)
{
    const Duration predicted = assignment.expectedFirstEventDelay - assignment.delayCorrection;
    this->health.recordDelay(assignment.upstreamGeneration, predicted, measured);
    if (assignment.isShortPrompt)
        this->crowds.recordFirstEvent(assignment.upstreamGeneration, predicted, measured);
}

void Dispatcher::refuse(Placement::QueuedPromptId id, Foundation::ResultCode code, Duration retryAfter)
{
    const auto found = this->pendingPrompts.find(id);
    if (found == this->pendingPrompts.end())
        return;
    const PendingPrompt pending = std::move(found->second);
    this->pendingPrompts.erase(found);
    pending.onRefused(code, std::max(retryAfter, this->pauseLeft(pending.criteria)));
}

} // namespace Gateway
