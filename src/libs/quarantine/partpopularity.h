#pragma once

#include "partcrash.h"

#include <foundation/clock.h>

#include <cstddef>
#include <span>
#include <unordered_map>

namespace Quarantine {

/**
 * Knows the parts that a large share of the first requests of a process have. Such a part occurs in most crashes by
 * chance, which is known from arrivals alone, before any request has run to its end.
 */
class PartPopularity {
public:
    /** @param clock the time source; must outlive this object. */
    explicit PartPopularity(const Foundation::Clock& clock);

    /** Counts a request that arrived, whether it may run or not. @param parts its parts, each once. */
    void recordArrival(std::span<const PromptPart> parts);

    /** Returns whether many requests have the part, as long as the process is too new to judge by completions. */
    bool isPopular(PromptPart part) const;

private:
    bool isLearning() const;

    const Foundation::Clock& clock;
    Foundation::TimePoint firstArrivalAt {};
    std::size_t requestCount = 0;
    std::unordered_map<PromptPart, std::size_t> countByPart;
};

} // namespace Quarantine
