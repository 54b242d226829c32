#pragma once

namespace Application {

/**
 * Makes the allocator give large blocks back to the system when they are freed. By default, glibc raises its threshold
 * to the size of such a block, up to 32 MB, and keeps those that are freed later, so that a process with large bodies
 * and answers occupies much more than it holds. To be called before the first large block is freed.
 */
void returnLargeAllocations();

} // namespace Application
