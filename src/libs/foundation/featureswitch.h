#pragma once

#include <cstdint>

namespace Foundation {

/** Whether a behaviour is active: by a rule about the deployment, always or never. */
enum class FeatureSwitch : std::uint8_t { Automatic, On, Off };

} // namespace Foundation
