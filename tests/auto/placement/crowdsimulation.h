#pragma once

#include <cstddef>
#include <string_view>

/** How a gateway chooses among engines of which it knows a stale load. */
enum class ChoiceMethod {
    /** The least loaded engine, a random one of those with equal load. */
    LeastLoaded,
    /** The first engines in the same order for all gateways, up to three quarters of their slots. */
    PackedOrder,
    /** The less loaded of two random engines. */
    TwoChoices,
    /** The first engine with a free slot in an order that is private to the gateway. */
    PrivateOrder,
    /** The least loaded engine, of whose free slots a gateway uses a part equal to its part of the arrivals. */
    DividedSlots,
    /** The least loaded engine, of which one gateway in each failure domain may use the last slots. */
    LastSlotToken,
    /** The least loaded engine after a wait for the next load update. */
    WaitForUpdate,
    /** A random engine with the shares in which the unreported requests would level the loads. */
    StaleFilling,
    /** The product's way: the same with a margin, drawn by a sequence of evenly spread numbers. */
    Product,
};

/** A crowd of requests that arrive at several gateways, on top of steady arrivals. */
struct CrowdScenario {
    std::size_t gateways = 27;
    std::size_t engines = 60;
    /** The time until the other gateways know of a dispatch; negative if they never do. */
    double updateAgeMs = 15;
    /** Whether one gateway in five receives five times the requests of the others. */
    bool hasUnequalGateways = false;
    /** So many engines hold so many requests that do not end. */
    std::size_t loadedEngines = 0;
    int initialRequests = 0;
    double steadyPerSecond = 85;
    /** Requests of the crowd, which arrive within one second. */
    int crowdSize = 350;
    double prefillMs = 28;
    /** The number of runs, each with its own seed. */
    unsigned runs = 2;
};

/** What the engines were given while the crowd arrived. */
struct CrowdOutcome {
    /** The part of the crowd's requests that found no free slot at their engine while others had one. */
    double overfilledShare = 0;
    int mostRequests = 0;
    /** The 50th and 90th percentile of the prefill work before a request. */
    double medianWaitMs = 0;
    double highWaitMs = 0;
};

/** Simulates a crowd several times with fixed seeds. */
CrowdOutcome simulateCrowd(const CrowdScenario& scenario, ChoiceMethod method);

std::string_view methodName(ChoiceMethod method);
