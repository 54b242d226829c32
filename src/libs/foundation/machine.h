#pragma once

#include <cstddef>

namespace Foundation {

/** Returns the number of bytes of physical memory of the machine. */
std::size_t physicalMemoryBytes();

} // namespace Foundation
