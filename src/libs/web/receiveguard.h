#pragma once

#include "clientrefusal.h"
#include "receivelimits.h"
#include "receivememory.h"

#include <memory>
#include <mutex>

namespace Web {

/** What the servers of a process share to protect it from clients: limits, memory and counters. Thread-safe. */
class ReceiveGuard {
public:
    /** @param clock must outlive the guard. */
    ReceiveGuard(
        const ReceiveLimits& limits, const ReceiveMemory::Settings& memorySettings, const Foundation::Clock& clock)
        : clock(clock)
        , memory(std::make_shared<ReceiveMemory>(memorySettings, clock))
        , refusals(clock)
        , limits(limits)
    {
    }

    ReceiveLimits currentLimits() const
    {
        const std::lock_guard lock(this->mutex);
        return this->limits;
    }

    /** Changes the limits for requests that begin from now on. */
    void setLimits(const ReceiveLimits& newLimits)
    {
        const std::lock_guard lock(this->mutex);
        this->limits = newLimits;
    }

    const Foundation::Clock& clock;
    const std::shared_ptr<ReceiveMemory> memory;
    RefusalLog refusals;

private:
    mutable std::mutex mutex;
    ReceiveLimits limits;
};

} // namespace Web
