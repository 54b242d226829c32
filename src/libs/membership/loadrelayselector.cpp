#include "loadrelayselector.h"

#include <algorithm>
#include <iterator>
#include <tuple>

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
    this->rankings.clear();
}

void LoadRelaySelector::remove(std::string_view process)
{
    for (auto& [domain, processes] : this->candidates) {
        const auto found = processes.find(process);
        if (found != processes.end())
            processes.erase(found);
    }
    this->rankings.clear();
    std::erase_if(this->candidates, [](const auto& entry) { return entry.second.empty(); });
    const auto update = this->lastUpdate.find(process);
    if (update != this->lastUpdate.end())
        this->lastUpdate.erase(update);
}

void LoadRelaySelector::recordUpdate(std::string_view process, TimePoint now)
{
    this->lastUpdate[std::string(process)] = now;
}

bool LoadRelaySelector::hasTimedOut(const std::string& process, Selection& selection, TimePoint now) const
{
    if (process == this->self.process)
        return false;
    // A process that was not selected, or not queried for, during the last timeout need not have sent updates, so its
    // timeout starts anew.
    if (selection.process != process || now - selection.lastQueried >= updateTimeout) {
        selection.process = process;
        selection.since = now;
    }
    selection.lastQueried = now;
    const auto found = this->lastUpdate.find(process);
    const TimePoint last = found == this->lastUpdate.end() ? selection.since : std::max(selection.since, found->second);
    return now - last >= updateTimeout;
}

const std::vector<std::string>& LoadRelaySelector::ranking(std::string_view failureDomain)
{
    const auto known = this->rankings.find(failureDomain);
    if (known != this->rankings.end())
        return known->second;
    std::vector<const LoadRelayCandidate*> sorted;
    const auto domain = this->candidates.find(failureDomain);
    if (domain != this->candidates.end()) {
        for (const auto& [process, candidate] : domain->second)
            sorted.push_back(&candidate);
    }
    std::ranges::sort(sorted, [](const auto* a, const auto* b) { return isPreferred(*a, *b); });
    std::vector<std::string>& processes = this->rankings[std::string(failureDomain)];
    std::ranges::transform(sorted, std::back_inserter(processes), &LoadRelayCandidate::process);
    return processes;
}

std::size_t LoadRelaySelector::domainRank()
{
    const std::vector<std::string>& processes = this->ranking(this->self.failureDomain);
    return static_cast<std::size_t>(std::ranges::find(processes, this->self.process) - processes.begin());
}

std::string LoadRelaySelector::selectRelay(
    std::string_view failureDomain, TimePoint now, std::size_t group, std::size_t groupCount)
{
    const std::vector<std::string>& processes = this->ranking(failureDomain);
    if (processes.empty())
        return {};
    Selection& selection = this->selections[{ std::string(failureDomain), group }];
    const std::size_t first = group % processes.size();
    for (std::size_t i = first; i < processes.size(); i += groupCount) {
        TimePoint& until = this->skippedUntil[processes[i]];
        if (now < until)
            continue;
        if (!this->hasTimedOut(processes[i], selection, now))
            return processes[i];
        until = now + skipTime;
    }
    return processes[first];
}

} // namespace Membership
