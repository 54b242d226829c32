#pragma once

#include "clientcrowd.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Proof {

/** A crowd of clients that keep no limit. */
struct ClientKind {
    std::string name;
    /** The clients follow these in turn. */
    std::vector<ClientBehaviour> behaviours;
};

/** @param bodyLimit the maximum number of bytes of a body that the operator's document names. */
std::vector<ClientKind> allClientKinds(std::size_t bodyLimit);

struct CrowdPlan {
    std::size_t clients = 60;
    /** The memory and the number of descriptors that the gateway's settings name. */
    int memoryMb = 64;
    int descriptors = 400;
    std::size_t bodyLimit = 1 << 20;
    /** The body of the ordinary request. */
    std::size_t ordinaryBodyBytes = 10'000;

    /** Returns the number of bytes that the process may hold. */
    std::int64_t memoryBound() const { return std::int64_t(this->memoryMb) * 900'000; }

    /** Returns the number of descriptors that the process may have open. The platform reserves the others for files. */
    std::size_t descriptorBound() const { return static_cast<std::size_t>(this->descriptors) - 200; }
};

struct CrowdResult {
    bool isAlive = false;
    bool isAnswered = false;
    /** The largest number of bytes that the process held, and that it counted as received; -1 if it counts none. */
    std::int64_t peakBytes = 0;
    std::int64_t peakCountedBytes = 0;
    std::size_t peakDescriptors = 0;
};

/**
 * Runs one gateway on loopback with a crowd of clients and sends one ordinary request afterwards, with the clients
 * still connected.
 */
CrowdResult runClientCrowd(const std::filesystem::path& programs, const CrowdPlan& plan, const ClientKind& kind);

} // namespace Proof
