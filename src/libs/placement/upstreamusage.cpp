#include "upstreamusage.h"

namespace Placement {

bool UpstreamUsage::isEmpty() const
{
    return this->prefillUs == 0 && this->ownPrefillUs == 0 && this->requests == 0 && this->reservedTokens == 0
        && this->streamsByGapMs.empty();
}

void UpstreamUsage::add(const UpstreamUsage& other)
{
    this->prefillUs += other.prefillUs;
    this->ownPrefillUs += other.ownPrefillUs;
    this->requests += other.requests;
    this->reservedTokens += other.reservedTokens;
    for (const auto& [eventGapTargetMs, group] : other.streamsByGapMs) {
        StreamGroup& ownGroup = this->streamsByGapMs[eventGapTargetMs];
        ownGroup.count += group.count;
        ownGroup.weight += group.weight;
        if (ownGroup.count == 0)
            this->streamsByGapMs.erase(eventGapTargetMs);
    }
}

void UpstreamUsage::subtract(const UpstreamUsage& other)
{
    this->prefillUs -= other.prefillUs;
    this->ownPrefillUs -= other.ownPrefillUs;
    this->requests -= other.requests;
    this->reservedTokens -= other.reservedTokens;
    for (const auto& [eventGapTargetMs, group] : other.streamsByGapMs) {
        StreamGroup& ownGroup = this->streamsByGapMs[eventGapTargetMs];
        ownGroup.count -= group.count;
        ownGroup.weight -= group.weight;
        if (ownGroup.count == 0)
            this->streamsByGapMs.erase(eventGapTargetMs);
    }
}

} // namespace Placement
