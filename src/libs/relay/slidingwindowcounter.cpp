#include "slidingwindowcounter.h"

namespace Relay {

std::size_t SlidingWindowCounter::count(Foundation::TimePoint now)
{
    while (!this->times.empty() && now - this->times.front() >= this->window)
        this->times.pop_front();
    return this->times.size();
}

} // namespace Relay
