#include "crowdplacement.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <algorithm>
#include <cmath>
#include <string>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;

// Successive multiples of the golden ratio, modulo 1, are spread evenly over [0, 1) for any number of them.
constexpr double drawStep = 0.6180339887498949;
constexpr double hashRange = 18'446'744'073'709'551'616.0;
// A crowd has ended when this process has placed no prompt by its rules for this time. It also bounds how often the
// event is logged.
constexpr Duration crowdEndTime = std::chrono::seconds(1);
// Gateways that start together connect to each other within a second. If no hello has come from a further one for this
// time, those that are known are taken to be all.
constexpr Duration membershipSettlingTime = std::chrono::seconds(1);

} // namespace

CrowdPlacement::CrowdPlacement(
    const Foundation::Clock& clock, Foundation::MetricRegistry& metrics, std::string_view process)
    : clock(clock)
    , metrics(metrics)
    , placements(metrics.counter("bluebell_crowd_placements_total"))
    , arrivals(clock)
    , delays(clock)
    , nextDraw(static_cast<double>(Foundation::hash64(process) >> 1U) * 2 / hashRange)
{
}

void CrowdPlacement::setProcesses(std::size_t count, std::size_t rank)
{
    this->arrivals.setProcessCount(count);
    if (count == this->processCount)
        return;
    this->processCount = count;
    this->lastCountChange = this->clock.now();
    // Gateways that begin at evenly spaced positions choose different engines even without load updates. A sequence
    // that has begun is not restarted, since it would choose its first engines again.
    if (count > 1 && !this->hasDrawn)
        this->nextDraw = static_cast<double>(rank) / static_cast<double>(count);
}

bool CrowdPlacement::isMembershipKnown() const
{
    if (this->isMembershipListed || this->seedCount == 0)
        return true;
    return this->processCount > this->seedCount && this->clock.now() - this->lastCountChange >= membershipSettlingTime;
}

void CrowdPlacement::recordPeer(std::string_view peer, const Placement::DispatchedWork& work)
{
    this->arrivals.recordPeer(peer, work);
}

bool CrowdPlacement::isActive(int slots) const
{
    if (this->featureSwitch != Foundation::FeatureSwitch::Automatic)
        return this->featureSwitch == Foundation::FeatureSwitch::On;
    return slots > 0 && (!this->isMembershipKnown() || this->processCount > static_cast<std::size_t>(slots));
}

std::optional<Placement::CrowdExpectation> CrowdPlacement::expectation(int slots)
{
    if (!this->isActive(slots))
        return std::nullopt;
    // While the count is unknown, the smallest one with which crowds are regarded is assumed.
    const std::size_t assumed
        = this->isMembershipKnown() ? 1 : std::max(this->seedCount, static_cast<std::size_t>(std::max(0, slots))) + 1;
    this->arrivals.setProcessCount(std::max(this->processCount, assumed));
    return Placement::CrowdExpectation { this->arrivals.estimate(), this->nextDraw };
}

Duration CrowdPlacement::delayCorrection(std::string_view upstreamGeneration, int slots) const
{
    return this->isActive(slots) ? this->delays.delayAt(upstreamGeneration) : Duration::zero();
}

void CrowdPlacement::recordFirstEvent(std::string_view upstreamGeneration, Duration predicted, Duration measured)
{
    if (this->featureSwitch != Foundation::FeatureSwitch::Off)
        this->delays.record(upstreamGeneration, predicted, measured);
}

void CrowdPlacement::recordDispatch(const Placement::PromptPlacement& placement)
{
    const auto parts = static_cast<double>(placement.helpers.size() + 1);
    this->arrivals.recordOwn({ 1, parts * Foundation::toSeconds(placement.partPrefillTime) });
    if (!placement.isCrowdPlacement)
        return;
    this->hasDrawn = true;
    this->nextDraw = std::fmod(this->nextDraw + drawStep, 1.0);
    this->placements.fetch_add(1);
    const TimePoint now = this->clock.now();
    this->lastCrowdPlacement = now;
    ++this->placementsInCrowd;
    if (this->isInCrowd)
        return;
    this->isInCrowd = true;
    this->crowdBegan = now;
    this->placementsInCrowd = 1;
    const Placement::ArrivalEstimate estimate = this->arrivals.estimate();
    logEvent(Event::CrowdPlacement, "",
        "state=begun prompts_per_second=" + std::to_string(estimate.perSecond.requests)
            + " unreported=" + std::to_string(estimate.unreported.requests)
            + " age_ms=" + std::to_string(Foundation::toMilliseconds(estimate.age)));
}

void CrowdPlacement::tick()
{
    const TimePoint now = this->clock.now();
    if (!this->isInCrowd || now - this->lastCrowdPlacement < crowdEndTime)
        return;
    this->isInCrowd = false;
    logEvent(Event::CrowdPlacement, "",
        "state=ended placements=" + std::to_string(this->placementsInCrowd)
            + " lasted_ms=" + std::to_string(Foundation::toMilliseconds(this->lastCrowdPlacement - this->crowdBegan)));
}

void CrowdPlacement::updateMetrics()
{
    this->metrics.setGauge("bluebell_unreported_requests", "", this->arrivals.estimate().unreported.requests);
    this->metrics.setGauge(
        "bluebell_first_event_delay_correction", "", Foundation::toSeconds(this->delays.fleetDelay()));
}

} // namespace Gateway
