#include "receivesettings.h"

#include <algorithm>

namespace Gateway {

namespace {

using Foundation::Duration;

constexpr std::size_t bytesPerMegabyte = 1'000'000;
// Requests, answers (a quarter) and everything else share the memory; freed blocks that the allocator keeps take a
// part.
constexpr std::size_t requestMemoryDivisor = 3;
// Of the sockets of the process.
constexpr std::size_t callerPercent = 40;
constexpr std::size_t upstreamPercent = 45;
// A request may leave the connection of an earlier attempt open for a while, so there are fewer than connections.
constexpr std::size_t requestPercent = 40;
constexpr std::size_t servicePercent = 2;
// The platform and the operator's tools use only a few connections.
constexpr std::size_t minimumServiceConnections = 4;
constexpr std::size_t maximumServiceConnections = 64;
// A head that a caller has sent in time may arrive later by a delay of the network that changes meanwhile.
constexpr int headTimeToleranceDivisor = 4;

std::size_t readSize(Foundation::JsonObjectReader& reader, const char* key, std::int64_t minimum, std::int64_t maximum,
    std::size_t fallback)
{
    return static_cast<std::size_t>(reader.integer(key, minimum, maximum, static_cast<std::int64_t>(fallback)));
}

Duration readTime(Foundation::JsonObjectReader& reader, const char* key, std::int64_t fallbackMs)
{
    constexpr std::int64_t shortestMs = 100;
    constexpr std::int64_t dayMs = 24LL * 3600 * 1000;
    return std::chrono::milliseconds(reader.integer(key, shortestMs, dayMs, fallbackMs));
}

} // namespace

ReceiveSettings readReceiveSettings(Foundation::JsonObjectReader reader)
{
    constexpr std::int64_t mebibyte = 1024 * 1024;
    ReceiveSettings settings;
    Web::ReceiveLimits& limits = settings.limits;
    settings.memoryMb = reader.integer("memoryMb", 0, mebibyte, settings.memoryMb);
    settings.maximumReceiving = readSize(reader, "maximumReceiving", 1, mebibyte, settings.maximumReceiving);
    settings.maximumConnections = readSize(reader, "maximumConnections", 0, mebibyte, settings.maximumConnections);
    limits.maximumHeaderBytes = readSize(reader, "maximumHeaderBytes", 1024, mebibyte, limits.maximumHeaderBytes);
    limits.maximumTargetBytes = readSize(reader, "maximumTargetBytes", 256, mebibyte, limits.maximumTargetBytes);
    limits.maximumFields = readSize(reader, "maximumFields", 16, mebibyte, limits.maximumFields);
    limits.maximumEmptyLineBytes = readSize(reader, "maximumEmptyLineBytes", 2, mebibyte, limits.maximumEmptyLineBytes);
    limits.maximumChunkHeadBytes = readSize(reader, "maximumChunkHeadBytes", 32, 65'536, limits.maximumChunkHeadBytes);
    limits.maximumTrailerBytes = readSize(reader, "maximumTrailerBytes", 64, 65'536, limits.maximumTrailerBytes);
    limits.maximumBodyBytes = readSize(
        reader, "maximumBodyBytes", 1024, 1024 * mebibyte, static_cast<std::size_t>(limits.maximumBodyBytes));
    limits.headTime = readTime(reader, "headTimeMs", 10'000);
    limits.bodyStallTime = readTime(reader, "bodyStallTimeMs", 15'000);
    limits.idleTime = readTime(reader, "idleTimeMs", 120'000);
    reader.rejectUnknownKeys();
    return settings;
}

Web::ReceiveLimits makeReceiveLimits(const ReceiveSettings& settings, const Policy::CallerLimits& callerLimits)
{
    Web::ReceiveLimits limits = settings.limits;
    limits.maximumHeaderBytes = callerLimits.maximumHeaderBytes.value_or(limits.maximumHeaderBytes);
    limits.maximumBodyBytes = callerLimits.maximumBodyBytes.value_or(limits.maximumBodyBytes);
    if (callerLimits.headerTimeout)
        limits.headTime = *callerLimits.headerTimeout + *callerLimits.headerTimeout / headTimeToleranceDivisor;
    limits.idleTime = callerLimits.idleTimeout.value_or(limits.idleTime);
    // Callers know the limits of the document only, so no other limit is reached within these.
    limits.maximumTargetBytes = std::max(limits.maximumTargetBytes, limits.maximumHeaderBytes);
    limits.maximumTrailerBytes = std::max(limits.maximumTrailerBytes, limits.maximumHeaderBytes);
    if (callerLimits.idleTimeout)
        limits.bodyStallTime = std::max(limits.bodyStallTime, *callerLimits.idleTimeout);
    return limits;
}

Web::ReceiveMemory::Settings makeReceiveMemorySettings(const ReceiveSettings& settings, std::size_t processBytes)
{
    const std::size_t capacity = settings.memoryMb > 0 ? static_cast<std::size_t>(settings.memoryMb) * bytesPerMegabyte
                                                       : processBytes / requestMemoryDivisor;
    return { capacity, settings.maximumReceiving };
}

SocketShares makeSocketShares(const ReceiveSettings& settings, std::size_t sockets)
{
    const auto share = [sockets](std::size_t percent) { return std::max<std::size_t>(1, sockets * percent / 100); };
    SocketShares shares;
    shares.callers = settings.maximumConnections > 0 ? settings.maximumConnections : share(callerPercent);
    shares.service = std::clamp(share(servicePercent), minimumServiceConnections, maximumServiceConnections);
    shares.upstreams = share(upstreamPercent);
    shares.requests = share(requestPercent);
    return shares;
}

} // namespace Gateway
