#include "startlimiter.h"

#include <algorithm>

namespace Relay {

namespace {

// Requests sent at different times may arrive within one second; the window is longer by that.
constexpr Foundation::Duration window = std::chrono::milliseconds(1'100);

} // namespace

bool StartLimiter::allows(std::string_view upstreamRun, double requestsPerSecond, Foundation::TimePoint now)
{
    const auto found = this->sent.find(upstreamRun);
    if (found == this->sent.end())
        return true;
    const double part = requestsPerSecond / static_cast<double>(std::max<std::size_t>(1, this->processCount));
    return static_cast<double>(found->second.count(now)) + 1 <= std::max(1.0, part);
}

void StartLimiter::noteSent(std::string_view upstreamRun, Foundation::TimePoint now)
{
    const auto found = this->sent.find(upstreamRun);
    SlidingCount& count = found == this->sent.end()
        ? this->sent.emplace(std::string(upstreamRun), SlidingCount(window)).first->second
        : found->second;
    count.add(now);
    count.count(now);
}

void StartLimiter::forget(std::string_view upstreamRun)
{
    const auto found = this->sent.find(upstreamRun);
    if (found != this->sent.end())
        this->sent.erase(found);
}

} // namespace Relay
