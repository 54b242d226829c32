#pragma once

#include "crowdplacement.h"
#include "permitexchange.h"

#include <foundation/clock.h>
#include <foundation/featureswitch.h>
#include <foundation/metrics.h>
#include <membership/upstreamdirectory.h>
#include <placement/contentionpolicy.h>
#include <placement/loadledger.h>
#include <placement/promptqueue.h>
#include <policy/trafficpolicy.h>
#include <relay/coldstartlimiter.h>
#include <relay/upstreamhealth.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/** An engine that prefills a part of a prompt for another one. */
struct AssignedHelper {
    std::string upstream;
    std::string address;
    /** Memory to reserve there for the prompt; 0 if the engine only prefills. */
    std::int64_t reservedTokens = 0;
};

/** The upstream that runs a request, and the prefill helpers of its prompt. */
struct Assignment {
    std::string upstream;
    std::string upstreamGeneration;
    std::string address;
    std::vector<AssignedHelper> helpers;
    Placement::DispatchedRequestId dispatchedRequestId = 0;
    /** Expected time from the dispatch to the first event; 0 for requests without a prompt. */
    Foundation::Duration expectedFirstEventDelay {};
    /** The part of the expected time that was added by DelayCorrection. */
    Foundation::Duration delayCorrection {};
    bool isShortPrompt = false;
};

/** Conditions that an upstream must meet to receive a request. */
struct UpstreamCriteria {
    std::string service;
    /** Regions in which the request may run; empty if it may run in all. */
    std::vector<std::string> regions;
    /** Generations of upstreams that must not receive the request again. */
    std::set<std::string> triedGenerations;
};

/** A prompt to be queued, and the callbacks of its request. */
struct PendingPrompt {
    Placement::QueuedPrompt prompt;
    UpstreamCriteria criteria;
    std::function<void(const Assignment&)> onAssigned;
    /** Called with the reason and with the time after which the caller may retry. */
    std::function<void(Foundation::ResultCode, Foundation::Duration)> onRefused;
};

/**
 * Assigns requests to upstreams: prompts through a queue for each service, other requests at once. Decides by the load
 * of all gateways, which they publish to each other.
 */
class Dispatcher {
public:
    Dispatcher(const Foundation::Clock& clock, Membership::UpstreamDirectory& directory, Relay::UpstreamHealth& health,
        Placement::LoadLedger& ledger, PermitExchange& permits, CrowdPlacement& crowds,
        std::map<std::string, std::string, std::less<>> regionByFailureDomain, std::string failureDomain,
        std::string_view process);

    /** Sets the policy that describes the services. */
    void setPolicy(std::shared_ptr<const Policy::TrafficPolicy> policy);

    /**
     * Sets by how much the request rate of a cold upstream may exceed the rate that its service allows.
     * @param factor multiplies the allowed rate.
     * @param allowance is added to the product, in requests per second.
     */
    void setColdStartLimit(double factor, double allowance);

    /** Sets whether load updates of most other processes are available. */
    void setPeerLoadAvailable(bool isAvailable) { this->isPeerLoadAvailable = isAvailable; }

    /**
     * Sets when the contention policy is active. Automatic: for services whose routes have different priorities.
     * @param registry counts the prompts that are refused; must outlive the dispatcher.
     */
    void setContentionPolicy(Foundation::FeatureSwitch newSwitch, Foundation::MetricRegistry& registry);

    /** Updates the gauges of the observed demand. */
    void updateMetrics();

    /** Sets how many processes dispatch to the same upstreams. */
    void setProcessCount(std::size_t count);

    /** Removes the cold-start state of an upstream generation that has ended. */
    void removeGeneration(std::string_view upstreamGeneration) { this->coldStartLimiter.remove(upstreamGeneration); }

    /** Returns the upstream for a request without a prompt; none if no upstream can accept it. */
    std::optional<Assignment> assignCall(const UpstreamCriteria& criteria);

    /**
     * Counts another send of an assigned request to its upstream.
     * @return false, without counting it, if the upstream may not receive it now.
     */
    bool tryAssignAgain(const Assignment& assignment, const UpstreamCriteria& criteria);

    /**
     * Queues a prompt. One of its callbacks is called later, from schedule().
     * @return an id for withdraw(); 0 if the service does not run on model engines.
     */
    Placement::QueuedPromptId enqueue(PendingPrompt pending);

    /**
     * Returns whether an engine could begin to answer a prompt before its caller times out, or, for a service without
     * engines, whether an upstream could be assigned now. Must not be called while the queues are scheduled.
     */
    bool hasRoom(const PendingPrompt& pending);

    /**
     * Returns the shortest time in which the service can answer a prompt with as many tokens as its caller allows; 0
     * for a service without engines.
     */
    Foundation::Duration minimumAnswerTime(
        std::string_view service, std::int64_t promptTokens, std::int64_t outputTokens) const;

    /**
     * Returns how long no upstream accepts a request because all have asked this process for a pause; 0 if one accepts
     * it, or if there is none.
     */
    Foundation::Duration pauseLeft(const UpstreamCriteria& criteria) const;

    /**
     * Returns the generations of the upstreams that could take a request if this process had a permit for one of them;
     * empty if the request needs no further permit.
     */
    std::vector<std::string> upstreamsThatNeedPermits(const UpstreamCriteria& criteria);

    /** Records the time from the dispatch of a prompt to its first event. */
    void recordFirstEvent(const Assignment& assignment, Foundation::Duration measured);

    /** Removes a prompt from its queue without calling its callbacks. */
    void withdraw(Placement::QueuedPromptId id);

    /** Dispatches or refuses queued prompts; must be called after each change of the load or of the upstreams. */
    void schedule();

    /** Returns whether a service runs on model engines. */
    bool isEngineService(std::string_view service) const;

    std::size_t queuedPromptCount() const { return this->pendingPrompts.size(); }

private:
    bool isInRegions(const Membership::Upstream& upstream, const std::vector<std::string>& regions) const;
    /** Returns whether this process may use the last free slots of an upstream. */
    bool canUseLastSlots(const Membership::Upstream& upstream) const;
    /** Returns whether the cold-start limit of the upstream, if it is cold, allows another request now. */
    bool isWithinColdStartLimit(const Membership::Upstream& upstream, Foundation::TimePoint now);
    /** Returns the least loaded upstream that can accept a request without a prompt now; null if there is none. */
    const Membership::Upstream* chooseUpstream(const UpstreamCriteria& criteria);
    /** Returns whether the limits of the upstream allow another request now, and whether it has not been tried. */
    bool canReceive(const Membership::Upstream& upstream, const UpstreamCriteria& criteria, Foundation::TimePoint now);
    /** Counts a request that is about to be sent. */
    void countRequest(std::string_view upstreamGeneration);
    /** Activates the contention policy if the switch calls for it, and ends it otherwise. */
    void applyContentionPolicy();
    /**
     * Returns whether long prompts leave headroom to short ones without the contention policy: if there are more
     * gateways than an engine has slots, each of which dispatches without knowing what the others do.
     */
    bool isContended(const std::string& service);
    /** Returns the contention policy of a service; null if it is not active. */
    Placement::ContentionPolicy* contentionPolicy(std::string_view service);
    /** Returns the load of the engines that a prompt of a service may use, for the contention policy. */
    std::vector<Placement::EngineCandidate> listEngines(const UpstreamCriteria& criteria);
    Placement::PromptQueueActions queueActions(const std::string& service);
    void recordEarlyRefusal(const Placement::QueuedPrompt& prompt, Foundation::Duration expectedFirstEvent);
    std::optional<Placement::PromptPlacement> place(
        const Placement::QueuedPrompt& prompt, const PendingPrompt& pending);
    void dispatch(Placement::QueuedPromptId id, const Placement::PromptPlacement& placement);
    void refuse(Placement::QueuedPromptId id, Foundation::ResultCode code, Foundation::Duration retryAfter);
    /** Returns the upstreams that accept requests and are in the regions, paused ones included. */
    std::vector<const Membership::Upstream*> listedUpstreams(const UpstreamCriteria& criteria) const;
    /**
     * Returns the upstreams that meet the criteria, do not pause and are not ejected; if all of them are ejected,
     * returns these.
     */
    std::vector<const Membership::Upstream*> usableUpstreams(const UpstreamCriteria& criteria);

    const Foundation::Clock& clock;
    Membership::UpstreamDirectory& directory;
    Relay::UpstreamHealth& health;
    Placement::LoadLedger& ledger;
    PermitExchange& permits;
    CrowdPlacement& crowds;
    Relay::ColdStartLimiter coldStartLimiter;
    std::map<std::string, std::string, std::less<>> regionByFailureDomain;
    std::string failureDomain;
    std::uint64_t processHash;
    std::size_t processCount = 1;
    bool isPeerLoadAvailable = true;
    double coldStartFactor = 1;
    double coldStartAllowance = 0;
    std::shared_ptr<const Policy::TrafficPolicy> policy;
    /** One queue for each service that runs on model engines. */
    std::map<std::string, Placement::PromptQueue, std::less<>> queues;
    /** The contention policies of the services for which it is active. */
    std::map<std::string, Placement::ContentionPolicy, std::less<>> contentionPolicies;
    Foundation::FeatureSwitch contentionSwitch = Foundation::FeatureSwitch::Off;
    Foundation::MetricRegistry* metrics = nullptr;
    std::map<Placement::QueuedPromptId, PendingPrompt> pendingPrompts;
    Placement::QueuedPromptId lastQueuedPromptId = 0;
    /** The upstreams to which the indexes of the latest placement refer. */
    std::vector<const Membership::Upstream*> placementUpstreams;
    bool isScheduling = false;
};

} // namespace Gateway
