#include "machine.h"

#include <unistd.h>

namespace Foundation {

std::size_t physicalMemoryBytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
}

} // namespace Foundation
