#pragma once

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <membership/upstreamdirectory.h>
#include <placement/loadledger.h>
#include <placement/waitingline.h>
#include <policy/trafficpolicy.h>
#include <relay/startlimiter.h>
#include <relay/upstreamhealth.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/** An engine that helps to read a prompt. */
struct AssignedHelper {
    std::string upstream;
    std::string address;
    /** Memory to reserve there for the prompt; 0 if it only reads. */
    std::int64_t heldTokens = 0;
};

/** Where a request goes. */
struct Assignment {
    std::string upstream;
    std::string upstreamRun;
    std::string address;
    std::vector<AssignedHelper> helpers;
    Placement::JobId job = 0;
    /** When the first event is expected, from now on; 0 for requests without a prompt. */
    Foundation::Duration firstEvent {};
};

/** What the dispatcher has to know of a request that is not a prompt. */
struct CallDemand {
    std::string service;
    std::vector<std::string> regions;
    /** Runs of upstreams that are not to be tried again. */
    std::set<std::string> tried;
};

/** A prompt and who waits for its place. */
struct PromptTicket {
    Placement::WaitingPrompt prompt;
    CallDemand call;
    std::function<void(const Assignment&)> onAssigned;
    std::function<void(Foundation::ResultCode, Foundation::Duration)> onRefused;
};

/**
 * Decides which upstream takes a request: at once for calls of plain services, through a waiting line for prompts.
 * Works on the load that all gateways tell each other.
 */
class Dispatcher {
public:
    Dispatcher(const Foundation::Clock& clock, Membership::UpstreamDirectory& directory, Relay::UpstreamHealth& health,
        Placement::LoadLedger& ledger, std::map<std::string, std::string, std::less<>> regionByFailureDomain,
        std::string failureDomain, std::string_view process);

    /** Sets the policy that describes the services. */
    void setPolicy(std::shared_ptr<const Policy::TrafficPolicy> policy);

    /** Sets the factor and the addition by which a cold upstream's rate may be exceeded. */
    void setColdBound(double factor, double slack);

    /** Sets whether what most other processes have under way is known. */
    void setLoadKnown(bool isKnown) { this->isLoadKnown = isKnown; }

    /** Sets how many processes send to the same upstreams. */
    void setProcessCount(std::size_t count);

    /** Forgets a run of an upstream that is over. */
    void forget(std::string_view upstreamRun) { this->startLimiter.forget(upstreamRun); }

    /** @return the upstream for a request without a prompt; none if no upstream can take it. */
    std::optional<Assignment> assignCall(const CallDemand& demand);

    /**
     * Lets a prompt wait for its engines. Its callbacks are called from review().
     * @return the name under which it waits; 0 if the service is no model engine.
     */
    Placement::WaitingId enqueue(PromptTicket ticket);

    /** Takes a prompt out of the line. */
    void withdraw(Placement::WaitingId id);

    /** Reviews the waiting lines; called after each change of load or of upstreams. */
    void review();

    /** @return whether a service runs on model engines. */
    bool isEngineService(std::string_view service) const;

    std::size_t waitingCount() const { return this->tickets.size(); }

private:
    bool isInRegions(const Membership::Upstream& upstream, const std::vector<std::string>& regions) const;
    bool mayFill(const Membership::Upstream& upstream) const;
    bool mayStart(const Membership::Upstream& upstream, Foundation::TimePoint now);
    std::optional<Placement::PromptPlacement> place(const Placement::WaitingPrompt& prompt, const PromptTicket& ticket);
    void dispatch(Placement::WaitingId id, const Placement::PromptPlacement& placement);
    void refuse(Placement::WaitingId id, Foundation::ResultCode code, Foundation::Duration retryAfter);
    std::vector<const Membership::Upstream*> usableOf(const CallDemand& demand);

    const Foundation::Clock& clock;
    Membership::UpstreamDirectory& directory;
    Relay::UpstreamHealth& health;
    Placement::LoadLedger& ledger;
    Relay::StartLimiter startLimiter;
    std::map<std::string, std::string, std::less<>> regionByFailureDomain;
    std::string failureDomain;
    std::uint64_t processHash;
    std::size_t processCount = 1;
    bool isLoadKnown = true;
    double coldFactor = 1;
    double coldSlack = 0;
    std::shared_ptr<const Policy::TrafficPolicy> policy;
    std::map<std::string, Placement::WaitingLine, std::less<>> lines;
    std::map<Placement::WaitingId, PromptTicket> tickets;
    Placement::WaitingId lastId = 0;
    /** The engines that the newest placement was made over. */
    std::vector<const Membership::Upstream*> placedOver;
    bool isReviewing = false;
};

} // namespace Gateway
