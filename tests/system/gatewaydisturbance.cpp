#include "gatewaydisturbance.h"

namespace Proof {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;
using namespace std::chrono_literals;

constexpr Duration pauseLength = 2s;
constexpr Duration pauseInterval = 2'300ms;
constexpr Duration killInterval = 1'500ms;
constexpr Duration restartDelay = 300ms;

} // namespace

const char* faultName(GatewayFault fault)
{
    switch (fault) {
    case GatewayFault::None:
        return "calm";
    case GatewayFault::Pause:
        return "pause";
    case GatewayFault::KillInTurn:
        return "killturn";
    case GatewayFault::KillAll:
        return "killall";
    case GatewayFault::StoreAway:
        return "storeaway";
    }
    return "";
}

GatewayDisturbance::GatewayDisturbance(GatewayFleet& fleet, GatewayFault fault, std::size_t killsAllAfter)
    : fleet(fleet)
    , fault(fault)
    , killsAllAfter(killsAllAfter)
{
}

void GatewayDisturbance::begin(TimePoint now)
{
    this->beginTime = now;
    if (this->fault == GatewayFault::StoreAway)
        this->fleet.setStoreUnavailable(true);
}

void GatewayDisturbance::step(TimePoint now, std::size_t crashes)
{
    if (!this->beginTime)
        return;
    const Duration elapsed = now - *this->beginTime;
    if (this->fault == GatewayFault::Pause) {
        this->pauseInTurn(now);
    } else if (this->fault == GatewayFault::KillInTurn && elapsed >= (this->faultCount + 1) * killInterval) {
        this->kill(this->faultCount++ % this->fleet.gatewayCount(), now);
    } else if (this->fault == GatewayFault::KillAll && this->faultCount == 0 && crashes >= this->killsAllAfter) {
        ++this->faultCount;
        for (std::size_t i = 0; i < this->fleet.gatewayCount(); ++i)
            this->kill(i, now);
    }
    std::erase_if(this->restarts, [this, now](const auto& restart) {
        if (now < restart.second)
            return false;
        this->fleet.startGateway(restart.first);
        return true;
    });
}

void GatewayDisturbance::pauseInTurn(TimePoint now)
{
    if (this->pausedGateway && now >= this->pauseEnd) {
        this->fleet.resumeGateway(*this->pausedGateway);
        this->pausedGateway.reset();
    }
    if (this->pausedGateway || now - *this->beginTime < (this->faultCount + 1) * pauseInterval)
        return;
    this->pausedGateway = this->faultCount++ % this->fleet.gatewayCount();
    this->pauseEnd = now + pauseLength;
    this->fleet.pauseGateway(*this->pausedGateway);
}

void GatewayDisturbance::kill(std::size_t gateway, TimePoint now)
{
    if (!this->fleet.isGatewayRunning(gateway))
        return;
    this->fleet.killGateway(gateway);
    this->restarts[gateway] = now + restartDelay;
}

} // namespace Proof
