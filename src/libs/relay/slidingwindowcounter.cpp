#include "slidingwindowcounter.h"

#include <algorithm>

namespace Relay {

void SlidingWindowCounter::remove(Foundation::TimePoint time)
{
    const auto found = std::ranges::find(this->times, time);
    if (found != this->times.end())
        this->times.erase(found);
}

std::size_t SlidingWindowCounter::count(Foundation::TimePoint now)
{
    while (!this->times.empty() && now - this->times.front() >= this->window)
        this->times.pop_front();
    return this->times.size();
}

} // namespace Relay
