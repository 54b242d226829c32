#pragma once

#include "arrivalestimator.h"
#include "upstreamusage.h"

#include <foundation/clock.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Placement {

using DispatchedRequestId = std::uint64_t;

/** A part of a prompt that one engine prefills. */
struct PrefillPart {
    std::string upstream;
    /** The predicted prefill time. */
    std::int64_t prefillUs = 0;
    /** KV-cache memory that the engine reserves for the prompt until the request ends, in tokens. */
    std::int64_t reservedTokens = 0;
};

/** A request that was dispatched to an upstream. */
struct DispatchedRequest {
    /** The upstream that runs the request. */
    std::string upstream;
    /** All engines that prefill the prompt, including the upstream itself; empty for requests without a prompt. */
    std::vector<PrefillPart> parts;
    /** KV-cache memory that the request reserves at the upstream, in tokens. */
    std::int64_t reservedTokens = 0;
    /** The event-gap target; 0 for requests that are not streams. */
    std::int64_t eventGapTargetMs = 0;
    /** The value of the request relative to others, in thousandths. */
    std::int64_t weight = 0;
};

/**
 * Sums what the requests in flight use at each upstream: those of this process, and those that the other processes
 * report. Every process decides by the sum, so that they share the upstreams without negotiating.
 */
class LoadLedger {
public:
    /** @param clock must outlive the ledger. */
    explicit LoadLedger(const Foundation::Clock& clock);

    /** Adds the usage of a dispatched request. */
    DispatchedRequestId addRequest(DispatchedRequest request);

    /** Subtracts the prefill work of a request whose prompt has been prefilled. */
    void recordPrefillDone(DispatchedRequestId id);

    /** Subtracts all usage of a request that has ended. */
    void removeRequest(DispatchedRequestId id);

    /**
     * Applies a load update of another process.
     * @param usages its usage of the upstreams that the update lists; an empty usage removes the upstream.
     * @param isComplete whether the process uses no other upstreams.
     * @return the prompts that the update shows as newly dispatched; none in the first complete update of a process,
     * which also lists what it dispatched long ago.
     */
    DispatchedWork setPeerUsage(std::string_view peer, std::span<const UpstreamUsage> usages, bool isComplete);

    /** Removes the usage of another process. */
    void dropPeer(std::string_view peer);

    /** Returns the total usage of an upstream by all processes. */
    const UpstreamUsage& totalUsage(std::string_view upstream) const;

    /**
     * Estimates the prefill work left at an upstream. Engines prefill in the order of arrival; dispatched work is taken
     * to progress with time until its end is recorded.
     */
    Foundation::Duration remainingPrefill(std::string_view upstream) const;

    /**
     * Takes the usage of this process at each upstream where it changed since the last call; empty where it has become
     * zero.
     */
    std::vector<UpstreamUsage> takeChanges();

    /** Returns the usage of this process at all upstreams. */
    std::vector<UpstreamUsage> ownUsage() const;

private:
    using UsageByUpstream = std::map<std::string, UpstreamUsage, std::less<>>;

    // A sign of 1 adds, -1 subtracts.
    void applyPrefill(const DispatchedRequest& request, const PrefillPart& part, int sign);
    /** Applies what a request uses until its end: a slot, memory and its stream. */
    void applyReservation(const DispatchedRequest& request, int sign);
    void applyOwn(const UpstreamUsage& usage, int sign);
    void applyTotal(const UpstreamUsage& usage, int sign);

    const Foundation::Clock& clock;
    DispatchedRequestId lastId = 0;
    std::map<DispatchedRequestId, DispatchedRequest> inFlight;
    UsageByUpstream ownByUpstream;
    std::map<std::string, UsageByUpstream, std::less<>> usageByPeer;
    UsageByUpstream totalByUpstream;
    /** When each upstream is expected to have prefilled all that was dispatched to it. */
    std::map<std::string, Foundation::TimePoint, std::less<>> prefillEnds;
    std::set<std::string, std::less<>> changedUpstreams;
};

} // namespace Placement
