#pragma once

#include "dispatcher.h"
#include "knowledgekeeper.h"
#include "memorykeeper.h"

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <platform/httptransfers.h>
#include <quarantine/suspectregister.h>
#include <relay/eventsplitter.h>
#include <relay/nextmove.h>
#include <relay/retryshare.h>
#include <relay/upstreamhealth.h>
#include <web/httpserver.h>

#include "platform/messageheaders.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace Gateway {

class RelayFlow;

/** What the flows of all requests share. */
struct FlowContext {
    const Foundation::Clock& clock;
    Foundation::MetricRegistry& metrics;
    Platform::HttpTransfers& transfers;
    KnowledgeKeeper& knowledge;
    Dispatcher& dispatcher;
    Placement::LoadLedger& ledger;
    Relay::RetryShare& retries;
    Relay::UpstreamHealth& health;
    Quarantine::SuspectRegister& suspects;
    MemoryKeeper<PlatformAdapter::EngineOrders>& memory;
    /** Called after a change of the ledger or of the health of upstreams; work that was added is told at once. */
    std::function<void(bool isAdded)> onLoadChanged;
    /** Called with a new suspicion, which the other gateways have to learn. */
    std::function<void(const Quarantine::CrashNotice&)> onSuspect;
    /** Called with what an upstream did that the other gateways had better know. */
    std::function<void(const Wire::UpstreamNotice&)> onUpstreamFailed;
    /** Called when a flow has ended. */
    std::function<void(const RelayFlow&)> onEnded;
    /** @return whether the process is about to stop, so that callers have to use another one from now on. */
    std::function<bool()> isStopping;
    /** @return whether the process stops so soon that a new request might not end before. */
    std::function<bool()> isLeaving;
};

/** One send to one upstream. */
struct Attempt {
    Assignment assignment;
    Platform::CallId call = 0;
    /** Memory set aside at helpers; 0 if there is none. */
    MemoryId memory = 0;
    Foundation::TimePoint sent {};
    Foundation::TimePoint lastData {};
    bool isReading = true;
    std::optional<Platform::AnswerStart> head;
    PlatformAdapter::AnswerFacts facts;
    /** Whether the answer is a stream of events to pass on as they come. */
    bool isStream = false;
    std::string body;
};

/**
 * Carries one request: finds its route and account, sends it to an upstream, passes the answer on, and goes on
 * elsewhere when an upstream fails and that is allowed.
 */
class RelayFlow : public std::enable_shared_from_this<RelayFlow> {
public:
    RelayFlow(FlowContext& context, std::shared_ptr<Web::HttpExchange> exchange);

    void start();

    /** Ends the request if its time is up, or the attempt if its upstream has gone silent. */
    void check(Foundation::TimePoint now);

private:
    bool findRoute();
    bool findAccount(const Policy::TrafficPolicy& policy);
    bool isSuspect();
    void dispatch();
    void enqueuePrompt();
    void begin(const Assignment& assignment);
    void reserveMemory();
    void send(const std::vector<std::string>& ticketNames);
    PlatformAdapter::Forwarding forwardingOf(const std::vector<std::string>& ticketNames) const;

    void onHead(std::uint64_t number, Platform::AnswerStart head);
    void onData(std::uint64_t number, std::string_view data);
    void onEnd(std::uint64_t number, const Platform::HttpCallResult& result);
    void onStreamData(std::string_view data);
    void beginStream();
    void noteFirstEvent();
    void deliverStreamEnd();
    void deliverWhole();
    bool retriesFailure() const;

    /**
     * Closes the attempt; its upstream owes nothing more.
     * @param observation what it tells of the upstream's health, if anything.
     */
    void closeAttempt(std::optional<Relay::Observation> observation);
    /** @return what the request has done if its attempt ends with this outcome now. */
    Relay::RequestProgress progressAfter(Foundation::RunOutcome outcome) const;
    void onAttemptFailed(Foundation::RunOutcome outcome, Foundation::ResultCode code, bool hasArrived);
    void goOn(Relay::NextMove move, Foundation::ResultCode code);
    void fail(Foundation::ResultCode code, std::optional<Foundation::Duration> retryAfter);
    void onCallerGone();
    void finish();
    Foundation::Duration timeLeft() const;
    Foundation::Duration silenceLimit() const;
    void noteCrash();
    void noteFaultyHelper(const std::string& address);

    FlowContext& context;
    std::shared_ptr<Web::HttpExchange> exchange;
    PlatformAdapter::CallerRequest request;
    /** Keeps the route alive. */
    std::shared_ptr<const Policy::TrafficPolicy> policy;
    const Policy::Route* route = nullptr;
    const Policy::Account* account = nullptr;
    CallDemand demand;
    std::string fingerprint;
    Foundation::TimePoint arrived {};
    Foundation::TimePoint deadline {};
    /** When the caller last got a part of the answer. */
    Foundation::TimePoint lastDelivered {};
    Placement::WaitingId waiting = 0;
    std::optional<Attempt> attempt;
    std::uint64_t attemptNumber = 0;
    Relay::EventSplitter events;
    int runs = 0;
    int sends = 0;
    bool hasBegun = false;
    bool hasEnded = false;
};

} // namespace Gateway
