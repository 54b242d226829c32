#include "loadrelayselector.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace Membership {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// A load relay sends at least every 150 ms. The timeout is three such intervals and an allowance for slow machines.
constexpr Duration updateTimeout = std::chrono::milliseconds(600);
// A load relay that timed out is tried again after this time.
constexpr Duration skipTime = std::chrono::seconds(3);

} // namespace

bool isPreferred(const LoadRelayCandidate& candidate, const LoadRelayCandidate& other)
{
    return std::tuple(-candidate.processorCores, std::string_view(candidate.process))
        < std::tuple(-other.processorCores, std::string_view(other.process));
}

LoadRelaySelector::LoadRelaySelector(LoadRelayCandidate self)
    : self(std::move(self))
{
    this->add(this->self);
}

void LoadRelaySelector::add(const LoadRelayCandidate& candidate)
{
    this->remove(candidate.process);
    this->candidates[candidate.failureDomain][candidate.process] = candidate;
}

void LoadRelaySelector::remove(std::string_view process)
{
    for (auto& [domain, processes] : this->candidates) {
        const auto found = processes.find(process);
        if (found != processes.end())
            processes.erase(found);
    }
    std::erase_if(this->candidates, [](const auto& entry) { return entry.second.empty(); });
    const auto update = this->lastUpdate.find(process);
    if (update != this->lastUpdate.end())
        this->lastUpdate.erase(update);
}

void LoadRelaySelector::recordUpdate(std::string_view process, TimePoint now)
{
    this->lastUpdate[std::string(process)] = now;
}

bool LoadRelaySelector::hasTimedOut(const LoadRelayCandidate& candidate, TimePoint now)
{
    if (candidate.process == this->self.process)
        return false;
    Selection& selection = this->selections[candidate.failureDomain];
    // A process that was not selected, or not queried for, during the last timeout need not have sent updates, so its
    // timeout starts anew.
    if (selection.process != candidate.process || now - selection.lastQueried >= updateTimeout) {
        selection.process = candidate.process;
        selection.since = now;
    }
    selection.lastQueried = now;
    const auto found = this->lastUpdate.find(candidate.process);
    const TimePoint last = found == this->lastUpdate.end() ? selection.since : std::max(selection.since, found->second);
    return now - last >= updateTimeout;
}

std::string LoadRelaySelector::selectRelay(std::string_view failureDomain, TimePoint now)
{
    const auto domain = this->candidates.find(failureDomain);
    if (domain == this->candidates.end())
        return {};
    std::vector<const LoadRelayCandidate*> ranking;
    for (const auto& [process, candidate] : domain->second)
        ranking.push_back(&candidate);
    std::ranges::sort(ranking, [](const auto* a, const auto* b) { return isPreferred(*a, *b); });
    for (const LoadRelayCandidate* const candidate : ranking) {
        TimePoint& until = this->skippedUntil[candidate->process];
        if (now < until)
            continue;
        if (!this->hasTimedOut(*candidate, now))
            return candidate->process;
        until = now + skipTime;
    }
    return ranking.front()->process;
}

} // namespace Membership
