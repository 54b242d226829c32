#include "machine.h"

#include <sys/resource.h>
#include <unistd.h>

namespace Foundation {

std::size_t physicalMemoryBytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
}

std::size_t maximumDescriptors()
{
    // The smallest limit that POSIX guarantees is far lower; this is the usual one.
    constexpr std::size_t usualLimit = 1024;
    rlimit limit {};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : usualLimit;
}

} // namespace Foundation
