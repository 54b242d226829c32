#pragma once

#include "dispatcher.h"
#include "proxycontext.h"

#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Gateway {

/** The wait of one request for a place at an upstream: for a permit, and in the queue if it is a prompt. */
class PlacementWait : public std::enable_shared_from_this<PlacementWait> {
public:
    /** What the wait asks of its request, and tells it. The wait ends with the request. */
    struct Handlers {
        /** Returns the request as it is queued now; its own handlers are not set. */
        std::function<PendingPrompt()> describe;
        std::function<void(const Assignment&)> onAssigned;
        /** Called if an upstream was looked for in vain, with the time after which the caller may retry. */
        std::function<void(std::optional<Foundation::Duration> retryAfter)> onNoUpstream;
        /** Called with the reason of a refusal and with the time after which the caller may retry. */
        std::function<void(Foundation::ResultCode, std::optional<Foundation::Duration> retryAfter)> onRefused;
    };

    PlacementWait(ProxyContext& context, Handlers handlers);

    /** Starts to wait for an upstream that takes the request. */
    void begin();
    /** Asks for a permit again if its time has come. */
    void check(Foundation::TimePoint now);
    /** Ends the wait. */
    void withdraw();
    /** Returns what the request waits for, as a word for logs and metrics; nullptr if it does not wait. */
    const char* awaitedParty() const;

private:
    /** Asks for a permit for one of several upstreams, without which none takes the request. */
    void requestPermit(const std::vector<std::string>& upstreamGenerations);
    void onPermitDecided(std::optional<Foundation::Duration> retryAfter);
    /** Assigns the request to an upstream that takes it now, or queues it if it is a prompt. */
    void assign(PendingPrompt pending);
    void enqueuePrompt(PendingPrompt pending);

    ProxyContext& context;
    Handlers handlers;
    /** 0 while the request is not queued. */
    Placement::QueuedPromptId queuedPromptId = 0;
    /** 0 while the request waits for no permit. */
    PermitRequestId permitRequestId = 0;
    /** When a stream that has begun asks for a permit again; none if it does not wait for that. */
    std::optional<Foundation::TimePoint> nextPermitRequestAt;
};

} // namespace Gateway
