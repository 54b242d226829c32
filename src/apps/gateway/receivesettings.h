#pragma once

#include <foundation/jsonobjectreader.h>
#include <policy/callerlimits.h>
#include <web/receivelimits.h>
#include <web/receivememory.h>

#include <cstddef>
#include <cstdint>

namespace Gateway {

/** What a gateway takes from callers before it has handed over their requests. */
struct ReceiveSettings {
    /** The memory for requests in MB; 0 for a third of the memory of the process. */
    std::int64_t memoryMb = 0;
    std::size_t maximumReceiving = 1024;
    /** The number of callers' connections; 0 for two fifths of the sockets of the process. */
    std::size_t maximumConnections = 0;
    /** Limits that the operator's document names replace these. */
    Web::ReceiveLimits limits;
};

/** Reads the object `receive` of a settings file. */
ReceiveSettings readReceiveSettings(Foundation::JsonObjectReader reader);

/** Returns the limits for requests. @param callerLimits what the operator's document names. */
Web::ReceiveLimits makeReceiveLimits(const ReceiveSettings& settings, const Policy::CallerLimits& callerLimits);

/** @param processBytes the memory of the process. */
Web::ReceiveMemory::Settings makeReceiveMemorySettings(const ReceiveSettings& settings, std::size_t processBytes);

/** How a process divides its sockets. The rest is for the store, other gateways and the process itself. */
struct SocketShares {
    /** Connections of callers. */
    std::size_t callers = 0;
    /** Connections of each listener for the platform and the operator's tools. */
    std::size_t service = 0;
    /** Connections to upstreams, used and idle ones. */
    std::size_t upstreams = 0;
    /** Requests that have not ended, each of which may need a connection to an upstream. */
    std::size_t requests = 0;
};

/** @param sockets the maximum number of sockets of the process. */
SocketShares makeSocketShares(const ReceiveSettings& settings, std::size_t sockets);

} // namespace Gateway
