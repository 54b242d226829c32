#include "partpopularity.h"

namespace Quarantine {

namespace {

// After this time a popular part has completed, unless it crashes upstreams.
constexpr Foundation::Duration learningTime = std::chrono::seconds(5);
// A part is popular if one request in so many has it.
constexpr std::size_t popularShare = 3;
// The share of a part in fewer requests than these is a matter of chance.
constexpr std::size_t minimumRequests = 20;
constexpr std::size_t maximumParts = 4'096;

} // namespace

PartPopularity::PartPopularity(const Foundation::Clock& clock)
    : clock(clock)
{
}

void PartPopularity::recordArrival(std::span<const PromptPart> parts)
{
    if (this->requestCount == 0)
        this->firstArrivalAt = this->clock.now();
    if (!this->isLearning()) {
        this->countByPart.clear();
        return;
    }
    ++this->requestCount;
    for (const PromptPart part : parts) {
        // A popular part arrives early, so the limit keeps only others out.
        const auto found = this->countByPart.find(part);
        if (found != this->countByPart.end())
            ++found->second;
        else if (this->countByPart.size() < maximumParts)
            this->countByPart.emplace(part, 1);
    }
}

bool PartPopularity::isPopular(PromptPart part) const
{
    if (!this->isLearning() || this->requestCount < minimumRequests)
        return false;
    const auto found = this->countByPart.find(part);
    return found != this->countByPart.end() && found->second * popularShare >= this->requestCount;
}

bool PartPopularity::isLearning() const { return this->clock.now() - this->firstArrivalAt < learningTime; }

} // namespace Quarantine
