#include "upstreamshare.h"

namespace Placement {

bool UpstreamShare::isEmpty() const
{
    return this->readingUs == 0 && this->ownReadingUs == 0 && this->requests == 0 && this->tokens == 0
        && this->groups.empty();
}

void UpstreamShare::add(const UpstreamShare& other)
{
    this->readingUs += other.readingUs;
    this->ownReadingUs += other.ownReadingUs;
    this->requests += other.requests;
    this->tokens += other.tokens;
    for (const auto& [gapMs, group] : other.groups) {
        StreamGroup& ownGroup = this->groups[gapMs];
        ownGroup.count += group.count;
        ownGroup.weight += group.weight;
        if (ownGroup.count == 0)
            this->groups.erase(gapMs);
    }
}

void UpstreamShare::subtract(const UpstreamShare& other)
{
    this->readingUs -= other.readingUs;
    this->ownReadingUs -= other.ownReadingUs;
    this->requests -= other.requests;
    this->tokens -= other.tokens;
    for (const auto& [gapMs, group] : other.groups) {
        StreamGroup& ownGroup = this->groups[gapMs];
        ownGroup.count -= group.count;
        ownGroup.weight -= group.weight;
        if (ownGroup.count == 0)
            this->groups.erase(gapMs);
    }
}

} // namespace Placement
