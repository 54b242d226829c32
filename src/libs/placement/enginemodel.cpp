#include "enginemodel.h"

namespace Placement {

EngineModel::EngineModel(const Policy::EngineProfile& profile)
    : engine(profile)
{
}

Foundation::Duration EngineModel::prefillTime(std::int64_t promptTokens, std::size_t parts) const
{
    const double tokens = static_cast<double>(promptTokens);
    const double millionTokenPairs = tokens * tokens / 2e6;
    const double totalMs
        = tokens / this->engine.prefillTokensPerMs + millionTokenPairs * this->engine.prefillMsPerMillionTokenPairs;
    return Foundation::fromSeconds(totalMs / 1e3 / static_cast<double>(parts));
}

Foundation::Duration EngineModel::decodeCycleTime(std::int64_t requests, std::int64_t contextTokens) const
{
    const double stepMs = this->engine.stepMs + this->engine.stepMsPerRequest * static_cast<double>(requests)
        + this->engine.stepMsPerThousandContextTokens * static_cast<double>(contextTokens) / 1e3;
    return Foundation::fromSeconds(stepMs * this->engine.stepsPerCycle / 1e3);
}

} // namespace Placement
