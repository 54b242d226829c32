#include "relaychoice.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace Membership {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// Relays pass something on at least every 150 ms; three times that and a slow machine's delay mean that one is gone.
constexpr Duration silenceLimit = std::chrono::milliseconds(600);
// A relay that was silent is tried again after this time.
constexpr Duration passedOverFor = std::chrono::seconds(3);

} // namespace

bool isPreferred(const RelayCandidate& candidate, const RelayCandidate& other)
{
    return std::tuple(-candidate.processorShare, std::string_view(candidate.process))
        < std::tuple(-other.processorShare, std::string_view(other.process));
}

RelayChoice::RelayChoice(RelayCandidate self)
    : self(std::move(self))
{
    this->add(this->self);
}

void RelayChoice::add(const RelayCandidate& candidate)
{
    this->remove(candidate.process);
    this->candidates[candidate.failureDomain][candidate.process] = candidate;
}

void RelayChoice::remove(std::string_view process)
{
    for (auto& [domain, processes] : this->candidates) {
        const auto found = processes.find(process);
        if (found != processes.end())
            processes.erase(found);
    }
    std::erase_if(this->candidates, [](const auto& entry) { return entry.second.empty(); });
    const auto heard = this->lastHeard.find(process);
    if (heard != this->lastHeard.end())
        this->lastHeard.erase(heard);
}

void RelayChoice::noteHeard(std::string_view process, TimePoint now) { this->lastHeard[std::string(process)] = now; }

bool RelayChoice::isSilent(const RelayCandidate& candidate, TimePoint now)
{
    if (candidate.process == this->self.process)
        return false;
    Chosen& choice = this->chosen[candidate.failureDomain];
    // Who was not chosen, or not asked for, need not have passed anything on.
    if (choice.process != candidate.process || now - choice.lastAsked >= silenceLimit) {
        choice.process = candidate.process;
        choice.since = now;
    }
    choice.lastAsked = now;
    const auto heard = this->lastHeard.find(candidate.process);
    const TimePoint last = heard == this->lastHeard.end() ? choice.since : std::max(choice.since, heard->second);
    return now - last >= silenceLimit;
}

std::string RelayChoice::relayOf(std::string_view failureDomain, TimePoint now)
{
    const auto domain = this->candidates.find(failureDomain);
    if (domain == this->candidates.end())
        return {};
    std::vector<const RelayCandidate*> order;
    for (const auto& [process, candidate] : domain->second)
        order.push_back(&candidate);
    std::ranges::sort(order, [](const auto* a, const auto* b) { return isPreferred(*a, *b); });
    for (const RelayCandidate* const candidate : order) {
        TimePoint& until = this->passedOverUntil[candidate->process];
        if (now < until)
            continue;
        if (!this->isSilent(*candidate, now))
            return candidate->process;
        until = now + passedOverFor;
    }
    return order.front()->process;
}

} // namespace Membership
