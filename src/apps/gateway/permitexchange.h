#pragma once

#include <foundation/clock.h>
#include <membership/loadrelayselector.h>
#include <ratelimit/permitissuer.h>
#include <ratelimit/permitstock.h>
#include <ratelimit/upstreamlimits.h>
#include <wire/messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/** Identifies a request for a permit. 0 means none. */
using PermitRequestId = std::uint64_t;

/**
 * Obtains permits for requests to upstreams with a limit, and issues them. All gateways that are connected to each
 * other choose the same issuer. One that does not reply is left out for a while, and the next one asked. Permits run
 * out soon, on a clock that also runs while the machine is suspended.
 */
class PermitExchange {
public:
    struct Handlers {
        /** Sends a message to another gateway. */
        std::function<void(const std::string& process, const Wire::Message&)> send;
        /** Returns the gateways that can be reached, including this one. */
        std::function<std::vector<Membership::LoadRelayCandidate>()> reachableGateways;
        /** Returns the number of gateways, including those that cannot be reached. */
        std::function<std::size_t()> gatewayCount;
        /** Called when a permit was obtained that no request waits for. */
        std::function<void()> onPermitObtained;
    };

    /** Called with the time after which the caller may retry; none if a permit was obtained. */
    using Decision = std::function<void(std::optional<Foundation::Duration> retryAfter)>;

    /**
     * @param clock tells times of requests. @param bootClock runs also while the machine is suspended.
     * @param limits the limits that upstreams name; must outlive this object.
     */
    PermitExchange(const Foundation::Clock& clock, const Foundation::Clock& bootClock,
        Membership::LoadRelayCandidate self, RateLimit::UpstreamLimits& limits, Handlers handlers);

    /** Returns whether a request may be sent to the upstream now. If not, asks for a permit for a later one. */
    bool allows(std::string_view upstreamGeneration);

    /** Returns whether the upstream has a limit. */
    bool isLimited(std::string_view upstreamGeneration) const;

    /** Returns whether this process holds a permit for the upstream. */
    bool hasPermit(std::string_view upstreamGeneration) const { return this->stock.has(upstreamGeneration); }

    /** Returns whether any upstream has a limit. */
    bool hasLimits() const { return this->limits.size() > 0; }

    /** Uses up what allows a request to the upstream. */
    void countRequest(std::string_view upstreamGeneration);

    /**
     * Requests a permit for one of several upstreams.
     * @param onDecision called once, possibly before the call returns.
     * @return an id for withdraw(); 0 if it is decided.
     */
    PermitRequestId request(std::vector<std::string> upstreamGenerations, Decision onDecision);

    /** Forgets a request whose decision is not awaited any more. */
    void withdraw(PermitRequestId id);

    /** Handles the messages of other gateways. */
    void onRequest(const std::string& process, const Wire::PermitRequest& request);
    void onReply(const std::string& process, const Wire::PermitReply& reply);
    void onReturn(const Wire::PermitReturn& returned);

    /** Records at which issuer another gateway gets its permits. */
    void recordSupport(const std::string& process, std::string_view issuer);

    /** Returns the issuer at which this process gets its permits; empty if no upstream has a limit. */
    std::string supportedIssuer() const { return this->hasLimits() ? this->currentIssuer : std::string(); }

    /** Decides requests without a reply, and returns permits that were not used. */
    void tick();

    /** Handles that the limit of an upstream is another one now. */
    void onLimitChanged(std::string_view upstreamGeneration);

    /** Removes an upstream that has ended. */
    void remove(std::string_view upstreamGeneration);

private:
    struct PendingRequest {
        std::vector<std::string> upstreamGenerations;
        /** Empty if no caller waits. */
        Decision onDecision;
        std::string issuer;
        Foundation::TimePoint sentAt {};
        /** Whether another issuer was asked before. */
        bool isRepeated = false;
    };

    /** Asks for a permit for later requests to an upstream. */
    void obtain(std::string_view upstreamGeneration);
    /** Sends the request to an issuer, or decides it if that is this process. @return whether a reply is awaited. */
    bool submit(PermitRequestId id, PendingRequest pending);
    /** Decides on a request at this process. */
    Wire::PermitReply issue(std::span<const std::string> upstreamGenerations, bool isCallerWaiting);
    void decide(const PendingRequest& pending, const Wire::PermitReply& reply);
    bool isReachable(const std::string& process) const;
    /** Selects the issuer among the gateways that can be reached. */
    void selectIssuer();
    void giveBack(const std::string& upstreamGeneration);

    const Foundation::Clock& clock;
    const Foundation::Clock& bootClock;
    Membership::LoadRelayCandidate self;
    RateLimit::UpstreamLimits& limits;
    Handlers handlers;
    RateLimit::PermitIssuer issuer;
    RateLimit::PermitStock stock;
    std::map<PermitRequestId, PendingRequest> pendingRequests;
    PermitRequestId lastRequest = 0;
    /** Until when upstreams were said to take no further request, by generation. */
    std::map<std::string, Foundation::TimePoint, std::less<>> fullUntil;
    /** Until when issuers that did not reply are left out. */
    std::map<std::string, Foundation::TimePoint> skippedUntil;
    /** The gateway at which this process gets its permits; may be this one. */
    std::string currentIssuer;
};

} // namespace Gateway
