#include "localretrybudget.h"

namespace Relay {

namespace {

// Retries are counted where they arrive, a little later than they are sent, so only this fraction is spent.
constexpr double usableFraction = 0.85;

} // namespace

LocalRetryBudget::LocalRetryBudget(RetryLimit limit)
    : limit(limit)
{
}

void LocalRetryBudget::countRequest(std::string_view service, Foundation::TimePoint now)
{
    this->countsFor(service).requests.add(now);
}

bool LocalRetryBudget::trySpend(std::string_view service, Foundation::TimePoint now)
{
    Counts& counts = this->countsFor(service);
    const double earned = this->limit.ratio * static_cast<double>(counts.requests.count(now));
    const double allowance
        = this->limit.fixedAllowance / static_cast<double>(std::max<std::size_t>(1, this->processCount));
    if (static_cast<double>(counts.retries.count(now)) + 1 > usableFraction * (earned + allowance))
        return false;
    counts.retries.add(now);
    return true;
}

void LocalRetryBudget::giveBack(std::string_view service, Foundation::TimePoint spentAt)
{
    this->countsFor(service).retries.remove(spentAt);
}

LocalRetryBudget::Counts& LocalRetryBudget::countsFor(std::string_view service)
{
    const auto found = this->services.find(service);
    if (found != this->services.end())
        return found->second;
    const SlidingWindowCounter none(this->limit.window);
    return this->services.emplace(std::string(service), Counts { none, none }).first->second;
}

} // namespace Relay
