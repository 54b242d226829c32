#pragma once

#include <foundation/clock.h>
#include <policy/serviceprofile.h>

#include <cstdint>

namespace Placement {

/** Predicts prefill and decode times of a model engine from its profile. */
class EngineModel {
public:
    explicit EngineModel(const Policy::EngineProfile& profile);

    const Policy::EngineProfile& profile() const { return this->engine; }

    /**
     * Returns the prefill time of a prompt on each of the engines that share it.
     * @param parts the number of engines; each prefills an equal part of the prompt.
     */
    Foundation::Duration prefillTime(std::int64_t promptTokens, std::size_t parts = 1) const;

    /**
     * Returns the time of a decode cycle without prefill, that is, the time between two events of a stream.
     * @param requests the number of requests that are decoding.
     * @param contextTokens the total context of these requests.
     */
    Foundation::Duration decodeCycleTime(std::int64_t requests, std::int64_t contextTokens) const;

private:
    Policy::EngineProfile engine;
};

} // namespace Placement
