#include "largeallocations.h"

#include <malloc.h>

namespace Application {

namespace {

// Few heads and events, but most bodies and answers that can fill the memory are larger.
constexpr int largeBlockBytes = 64 * 1024;
constexpr int keptFreeBytes = 128 * 1024;

} // namespace

void returnLargeAllocations()
{
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

} // namespace Application
