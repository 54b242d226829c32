#pragma once

#include <placement/enginemodel.h>

/** Returns the model of an engine with the figures of the users' deployments. */
inline Placement::EngineModel testEngineModel()
{
    Policy::EngineProfile engine;
    engine.slots = 16;
    engine.memoryTokens = 405'000;
    engine.stepMs = 1.31;
    engine.stepMsPerRequest = 0.000917;
    engine.stepMsPerThousandContextTokens = 0.00213;
    engine.prefillTokensPerMs = 154;
    engine.prefillMsPerMillionTokenPairs = 0.162;
    engine.stepsPerCycle = 34;
    return Placement::EngineModel(engine);
}
