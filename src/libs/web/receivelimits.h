#pragma once

#include <foundation/clock.h>

#include <cstddef>
#include <cstdint>

namespace Web {

/** What a server takes from one client. Ordinary clients stay below all of these. */
struct ReceiveLimits {
    /** The header fields of a request, with their line ends. */
    std::size_t maximumHeaderBytes = 64 * 1024;
    std::size_t maximumTargetBytes = 16 * 1024;
    /** More than fit into a head, whose size already bounds them, unless the settings name fewer. */
    std::size_t maximumFields = 1024 * 1024;
    /** Line ends before the first line of a request. */
    std::size_t maximumEmptyLineBytes = 64;
    /** The size line of a chunk, with its extensions. */
    std::size_t maximumChunkHeadBytes = 1024;
    std::size_t maximumTrailerBytes = 8 * 1024;
    std::uint64_t maximumBodyBytes = 16 * 1024 * 1024;
    /** From the first byte of a request to the end of its head. */
    Foundation::Duration headTime = std::chrono::seconds(30);
    /** The longest time in which a body does not grow by ReceiveMemory::progressBytes. */
    Foundation::Duration bodyStallTime = std::chrono::seconds(30);
    /** The longest time between two requests on a connection; the longest request time limit if not set. */
    Foundation::Duration idleTime = std::chrono::hours(25);
};

} // namespace Web
