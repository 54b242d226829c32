#pragma once

#include "environmentdocument.h"

#include <string>
#include <vector>

namespace Configuration {

/** Returns one line for each definition that is added ("+"), removed ("-") or changed ("~") between two documents. */
std::vector<std::string> describeDifference(const EnvironmentDocument& before, const EnvironmentDocument& after);

} // namespace Configuration
