#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace Proof {

/**
 * Calls a function for each index below a count, on several threads at a time.
 * @param jobs the number of threads.
 */
template <typename Function> void runInParallel(std::size_t count, unsigned jobs, Function function)
{
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < std::max(1U, jobs); ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++)
                function(index);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
}

} // namespace Proof
