#include "retryshare.h"

namespace Relay {

namespace {

// Repeats are counted where they arrive, a little later than they are sent; this part of the budget is used.
constexpr double usedPart = 0.85;

} // namespace

RetryShare::RetryShare(RetryBound bound)
    : bound(bound)
{
}

void RetryShare::noteRequest(std::string_view service, Foundation::TimePoint now)
{
    this->countsOf(service).requests.add(now);
}

bool RetryShare::trySpend(std::string_view service, Foundation::TimePoint now)
{
    Counts& counts = this->countsOf(service);
    const double earned = this->bound.ratio * static_cast<double>(counts.requests.count(now));
    const double slack = this->bound.slack / static_cast<double>(std::max<std::size_t>(1, this->processCount));
    if (static_cast<double>(counts.repeats.count(now)) + 1 > usedPart * (earned + slack))
        return false;
    counts.repeats.add(now);
    return true;
}

RetryShare::Counts& RetryShare::countsOf(std::string_view service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end())
        return found->second;
    const SlidingCount none(this->bound.window);
    return this->services.emplace(std::string(service), Counts { none, none }).first->second;
}

} // namespace Relay
