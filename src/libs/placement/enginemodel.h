#pragma once

#include <foundation/clock.h>
#include <policy/serviceprofile.h>

#include <cstdint>

namespace Placement {

/** How long a model engine takes, by the figures of its profile. */
class EngineModel {
public:
    explicit EngineModel(const Policy::EngineProfile& profile);

    const Policy::EngineProfile& profile() const { return this->engine; }

    /**
     * @param promptTokens the tokens of a prompt.
     * @param parts the number of engines that read it in even parts.
     * @return the time that each of them takes to read its part.
     */
    Foundation::Duration readingTime(std::int64_t promptTokens, std::size_t parts = 1) const;

    /**
     * @param requests the requests that write.
     * @param contextTokens their tokens together.
     * @return the time of a pass in which nothing is read.
     */
    Foundation::Duration passTime(std::int64_t requests, std::int64_t contextTokens) const;

private:
    Policy::EngineProfile engine;
};

} // namespace Placement
