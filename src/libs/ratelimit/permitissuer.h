#pragma once

#include <foundation/clock.h>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace RateLimit {

/** The answer to a request for a permit. */
struct PermitDecision {
    bool isGranted = false;
    /** If refused: how long the upstream takes no further request. */
    Foundation::Duration untilRoom {};
    /** If refused: when there is room for this request, behind the others that were refused. */
    Foundation::Duration retryAfter {};
};

/**
 * Issues permits for requests to upstreams with a limit. The gateways support one issuer at a time and get their
 * permits there. An issuer that most gateways support issues as many permits as the limits allow, others an equal part
 * for each of their supporters; so the issuers of a divided fleet together stay close to the limits, and below what
 * upstreams tolerate.
 */
class PermitIssuer {
public:
    /** @param clock runs also while the machine is suspended, so that support that has lapsed does not count. */
    explicit PermitIssuer(const Foundation::Clock& clock);

    /** Sets the number of gateways, including those that cannot be reached. */
    void setGatewayCount(std::size_t count) { this->gatewayCount = count; }

    /** Records that a gateway gets its permits here. Its support lapses unless it is repeated. */
    void recordSupport(std::string_view process);

    /** Records that a gateway gets its permits elsewhere. */
    void withdrawSupport(std::string_view process);

    /**
     * Decides on a request for a permit.
     * @param requestsPerSecond the limit of the upstream.
     * @param isCallerWaiting whether a refusal is passed on to a caller, who comes back when it says.
     */
    PermitDecision request(std::string_view upstreamGeneration, double requestsPerSecond, bool isCallerWaiting);

    /** Takes a permit back that was not used. */
    void giveBack(std::string_view upstreamGeneration);

    /** Removes an upstream that has ended or names no limit any more. */
    void remove(std::string_view upstreamGeneration);

    /** @return the part of the limits that this process may use. */
    double usableFraction();

private:
    /** A token bucket. It starts empty, since other issuers may just have used the limit. */
    struct Bucket {
        double tokens = 0;
        double capacity = 0;
        Foundation::TimePoint filledAt {};
        /** When there is room for the last caller that was refused. */
        Foundation::TimePoint promisedUntil {};
    };

    const Foundation::Clock& clock;
    std::size_t gatewayCount = 1;
    /** When each supporter last said so. */
    std::map<std::string, Foundation::TimePoint, std::less<>> supporters;
    std::map<std::string, Bucket, std::less<>> buckets;
};

} // namespace RateLimit
