#include "startcheck.h"

namespace StoreCache {

namespace {

// A store that came back from a copy is at least in its second era.
constexpr std::uint64_t firstEra = 1;

} // namespace

StartCheck::StartCheck(Foundation::Duration settleTime)
    : settleTime(settleTime)
{
}

void StartCheck::recordRead(Foundation::TimePoint now)
{
    if (!this->firstRead)
        this->firstRead = now;
}

void StartCheck::recordListing(std::uint64_t era, std::uint64_t settledEra, bool hasProcesses)
{
    // The first processes of a deployment find an empty list.
    const bool isFirstStart = !hasProcesses && settledEra == 0 && era <= firstEra;
    if (era == 0 || settledEra >= era || isFirstStart)
        this->state = State::Current;
    else if (this->state == State::Undecided)
        this->state = State::Waiting;
}

bool StartCheck::isWaiting(Foundation::TimePoint now) const
{
    return this->state == State::Waiting && (!this->firstRead || now - *this->firstRead < this->settleTime);
}

} // namespace StoreCache
