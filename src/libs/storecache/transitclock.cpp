#include "transitclock.h"

#include <algorithm>

namespace StoreCache {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

// Clocks of sound machines run apart by less than this fraction of the time.
constexpr double maximumDrift = 200e-6;
// Senders that were replaced are forgotten; far more gateways than a domain has fit.
constexpr std::size_t maximumSenders = 1'024;

} // namespace

std::optional<TimePoint> TransitClock::record(std::string_view sender, TimePoint sent, TimePoint now)
{
    const Duration difference = now.time_since_epoch() - sent.time_since_epoch();
    const auto found = this->senders.find(sender);
    if (found == this->senders.end()) {
        if (this->senders.size() >= maximumSenders)
            this->senders.erase(std::ranges::min_element(
                this->senders, {}, [](const auto& entry) { return entry.second.lastMessage; }));
        this->senders.emplace(sender, Sender { difference, now });
        return std::nullopt;
    }
    Sender& known = found->second;
    const Duration drift = Foundation::fromSeconds(Foundation::toSeconds(now - known.lastMessage) * maximumDrift);
    known.difference = std::min(difference, known.difference + drift);
    known.lastMessage = now;
    return now - (difference - known.difference);
}

} // namespace StoreCache
