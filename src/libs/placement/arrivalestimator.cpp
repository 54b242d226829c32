#include "arrivalestimator.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// Dispatches lose weight with this time constant. A crowd arrives within a second, so the estimate must follow within a
// third of it; at 85 prompts per second the estimate still rests on 25 of them.
constexpr double timeConstantSeconds = 0.3;
// The usual time from a dispatch until the other gateways know of it: a load relay of the sender's failure domain and
// one of the receiver's batch for up to 15 ms each, and two or three links take a few ms each.
constexpr Duration reportDelay = std::chrono::milliseconds(40);
// Gateways send their complete load every 1.2 s. One that has missed two of them is not heard.
constexpr Duration silenceLimit = std::chrono::milliseconds(2'500);
// Counting goes through all gateways, so it is not done for each update.
constexpr Duration countInterval = std::chrono::milliseconds(100);

DispatchedWork scaled(const DispatchedWork& work, double factor)
{
    return { work.requests * factor, work.prefillSeconds * factor };
}

} // namespace

DispatchedWork ArrivalEstimator::DecayingSum::at(TimePoint now) const
{
    return scaled(this->work, std::exp(-Foundation::toSeconds(now - this->updatedAt) / timeConstantSeconds));
}

void ArrivalEstimator::DecayingSum::add(const DispatchedWork& added, TimePoint now)
{
    this->work = this->at(now);
    this->work.requests += added.requests;
    this->work.prefillSeconds += added.prefillSeconds;
    this->updatedAt = now;
}

ArrivalEstimator::ArrivalEstimator(const Foundation::Clock& clock)
    : clock(clock)
{
}

void ArrivalEstimator::recordOwn(const DispatchedWork& work)
{
    const TimePoint now = this->clock.now();
    this->own.add(work, now);
    this->countHeardPeers(now);
}

void ArrivalEstimator::recordPeer(std::string_view peer, const DispatchedWork& work)
{
    const TimePoint now = this->clock.now();
    const auto found = this->lastUpdates.find(peer);
    if (found == this->lastUpdates.end()) {
        this->lastUpdates.emplace(peer, now);
        this->nextCount = now;
    } else
        found->second = now;
    this->lastUpdate = now;
    this->others.add(work, now);
    this->countHeardPeers(now);
}

void ArrivalEstimator::dropPeer(std::string_view peer)
{
    const auto found = this->lastUpdates.find(peer);
    if (found == this->lastUpdates.end())
        return;
    this->lastUpdates.erase(found);
    this->nextCount = {};
    this->countHeardPeers(this->clock.now());
}

void ArrivalEstimator::countHeardPeers(TimePoint now)
{
    if (now < this->nextCount)
        return;
    this->nextCount = now + countInterval;
    this->heardPeers = static_cast<std::size_t>(std::ranges::count_if(
        this->lastUpdates, [now](const auto& entry) { return now - entry.second < silenceLimit; }));
}

ArrivalEstimate ArrivalEstimator::estimate() const
{
    const TimePoint now = this->clock.now();
    const DispatchedWork ownWork = this->own.at(now);
    const auto otherProcesses = static_cast<double>(std::max<std::size_t>(1, this->processCount) - 1);
    const bool isHeard = this->heardPeers > 0 && now - this->lastUpdate < silenceLimit;
    // Work that no update has shown yet is estimated from the rate before the silence, which loses weight meanwhile.
    const DispatchedWork otherWork = isHeard
        ? scaled(this->others.at(now), std::max(1.0, otherProcesses / static_cast<double>(this->heardPeers)))
        : scaled(ownWork, otherProcesses);
    ArrivalEstimate estimate;
    estimate.perSecond = { (ownWork.requests + otherWork.requests) / timeConstantSeconds,
        (ownWork.prefillSeconds + otherWork.prefillSeconds) / timeConstantSeconds };
    estimate.age = isHeard ? now - this->lastUpdate + reportDelay : silenceLimit;
    const double unreportedSeconds = std::min(Foundation::toSeconds(estimate.age), timeConstantSeconds);
    estimate.unreported = scaled(otherWork, unreportedSeconds / timeConstantSeconds);
    return estimate;
}

} // namespace Placement
