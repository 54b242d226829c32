#pragma once

#include <foundation/clock.h>
#include <quarantine/suspectregistry.h>
#include <storecache/keyedrecord.h>

#include "platform/storeclient.h"

#include <cstddef>
#include <functional>
#include <string>

namespace Gateway {

/**
 * Keeps in the store which requests run to their end again and again, so that gateways that all start anew do not take
 * such a request for the cause while upstreams fail. Each gateway reads this once, at its start.
 */
class CompletionStore {
public:
    struct Handlers {
        /** Returns whether the store can be reached, as far as is known. */
        std::function<bool()> isStoreReachable;
        /** Returns how many gateways of the failure domain come before this one for duties that only some have. */
        std::function<std::size_t()> domainRank;
    };

    /** @param failureDomain the gateway's failure domain. All other parameters must outlive this object. */
    CompletionStore(PlatformAdapter::StoreClient& store, const Foundation::Clock& clock,
        const Foundation::WallClock& wallClock, Quarantine::SuspectRegistry& suspects, std::string failureDomain,
        Handlers handlers);

    /** Reads or writes if it is due; called at each tick of the process. */
    void tick();

private:
    void read();
    void onRecord(const StoreCache::KeyedRecord& record);
    void write(std::size_t rank);

    PlatformAdapter::StoreClient& store;
    const Foundation::Clock& clock;
    const Foundation::WallClock& wallClock;
    Quarantine::SuspectRegistry& suspects;
    std::string failureDomain;
    Handlers handlers;
    bool isRead = false;
    bool isCalling = false;
    bool isFailing = false;
    Foundation::TimePoint nextCall {};
    /** When the newest completion that was written last had happened. */
    Foundation::TimePoint writtenUpTo {};
};

} // namespace Gateway
