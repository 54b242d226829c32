#pragma once

#include "gatewayfleet.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Proof {

/** What happens to the gateways while requests crash upstreams. */
enum class GatewayFault : std::uint8_t {
    None,
    /** Each in turn is stopped by a signal for two seconds. */
    Pause,
    /** Each in turn is killed and started again. */
    KillInTurn,
    /** All are killed at once, after a number of crashes. */
    KillAll,
    /** The store turns all gateways away, so that they see no new entry of an upstream. */
    StoreAway,
};

const char* faultName(GatewayFault fault);

/** Disturbs the gateways of a fleet in one way. */
class GatewayDisturbance {
public:
    /** @param killsAllAfter the number of crashes after which KillAll kills the gateways. */
    GatewayDisturbance(GatewayFleet& fleet, GatewayFault fault, std::size_t killsAllAfter);

    void begin(Foundation::TimePoint now);

    /** To be called every few ms. Has no effect before begin(). @param crashes the crashes of upstreams so far. */
    void step(Foundation::TimePoint now, std::size_t crashes);

private:
    void pauseInTurn(Foundation::TimePoint now);
    void kill(std::size_t gateway, Foundation::TimePoint now);

    GatewayFleet& fleet;
    GatewayFault fault;
    std::size_t killsAllAfter;
    std::optional<Foundation::TimePoint> beginTime;
    std::size_t faultCount = 0;
    std::optional<std::size_t> pausedGateway;
    Foundation::TimePoint pauseEnd {};
    /** When killed gateways start again, by index. */
    std::map<std::size_t, Foundation::TimePoint> restarts;
};

} // namespace Proof
