#pragma once

#include <cstddef>

namespace Foundation {

/** Returns the number of bytes of physical memory of the machine. */
std::size_t physicalMemoryBytes();

/** Returns the maximum number of descriptors that the process may have open. */
std::size_t maximumDescriptors();

} // namespace Foundation
