#pragma once

#include "gatewayfleet.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <stdexcept>

namespace Proof {

/** Runs a fleet of gateways and a load on one thread. */
class FleetRunner {
public:
    /** @param onStep called every 10 ms with the current time. */
    FleetRunner(asio::io_context& context, GatewayFleet& fleet, std::function<void(Foundation::TimePoint)> onStep)
        : context(context)
        , fleet(fleet)
        , onStep(std::move(onStep))
    {
    }

    /** Starts the fleet and waits until its gateways are ready. Throws if they do not become ready. */
    void start()
    {
        constexpr Foundation::Duration startTimeout = std::chrono::seconds(10);
        constexpr Foundation::Duration readinessInterval = std::chrono::milliseconds(50);
        this->fleet.start();
        const auto startEnd = std::chrono::steady_clock::now() + startTimeout;
        while (!this->fleet.isReady()) {
            if (std::chrono::steady_clock::now() >= startEnd)
                throw std::runtime_error("the gateways did not become ready");
            this->runFor(readinessInterval);
        }
    }

    void runFor(Foundation::Duration length)
    {
        this->runUntil([] { return false; }, length);
    }

    /** Runs until the condition holds or the time is over. @return whether the condition holds. */
    template <typename Condition> bool runUntil(Condition condition, Foundation::Duration limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            this->context.run_one_for(std::chrono::milliseconds(5));
            this->step(std::chrono::steady_clock::now());
        }
        return condition();
    }

private:
    void step(Foundation::TimePoint now)
    {
        constexpr Foundation::Duration stepInterval = std::chrono::milliseconds(10);
        if (now - this->lastStep < stepInterval)
            return;
        this->lastStep = now;
        this->fleet.tick();
        this->onStep(now);
    }

    asio::io_context& context;
    GatewayFleet& fleet;
    std::function<void(Foundation::TimePoint)> onStep;
    Foundation::TimePoint lastStep {};
};

} // namespace Proof
