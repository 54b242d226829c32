#include "coldstartlimiter.h"

#include <algorithm>

namespace Relay {

namespace {

// Transfer times vary, so requests sent more than 1 s apart may arrive within 1 s; the window is 100 ms longer.
constexpr Foundation::Duration window = std::chrono::milliseconds(1'100);

} // namespace

bool ColdStartLimiter::allows(std::string_view upstreamGeneration, double requestsPerSecond, Foundation::TimePoint now)
{
    const auto found = this->sentRequests.find(upstreamGeneration);
    if (found == this->sentRequests.end())
        return true;
    const double localLimit = requestsPerSecond / static_cast<double>(std::max<std::size_t>(1, this->processCount));
    return static_cast<double>(found->second.count(now)) + 1 <= std::max(1.0, localLimit);
}

void ColdStartLimiter::countRequest(std::string_view upstreamGeneration, Foundation::TimePoint now)
{
    const auto found = this->sentRequests.find(upstreamGeneration);
    SlidingWindowCounter& count = found == this->sentRequests.end()
        ? this->sentRequests.emplace(std::string(upstreamGeneration), SlidingWindowCounter(window)).first->second
        : found->second;
    count.add(now);
    count.count(now);
}

void ColdStartLimiter::remove(std::string_view upstreamGeneration)
{
    const auto found = this->sentRequests.find(upstreamGeneration);
    if (found != this->sentRequests.end())
        this->sentRequests.erase(found);
}

} // namespace Relay
