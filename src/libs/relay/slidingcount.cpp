#include "slidingcount.h"

namespace Relay {

std::size_t SlidingCount::count(Foundation::TimePoint now)
{
    while (!this->times.empty() && now - this->times.front() >= this->window)
        this->times.pop_front();
    return this->times.size();
}

} // namespace Relay
