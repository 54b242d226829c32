#pragma once

#include "agentlink.h"
#include "callerreply.h"
#include "requestparser.h"
#include "requesttrace.h"
#include "routingtable.h"

#include <foundation/metrics.h>
#include <foundation/rcucell.h>
#include <relay/answermemory.h>
#include <routing/answerassembly.h>
#include <routing/retrybudget.h>
#include <routing/retrypolicy.h>
#include <web/httpserver.h>
#include <wire/bodysender.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Entry {

/** The services and settings that all requests of an entry share. */
struct ProxyContext {
    asio::io_context& workers;
    const Foundation::Clock& clock;
    Foundation::MetricRegistry& metrics;
    Foundation::RcuCell<RoutingTable>& table;
    Foundation::RcuCell<SuspectTable>& suspects;
    Routing::RetryBudget& retryBudget;
    RequestTraces& traces;
    std::atomic<std::int64_t>& activeRequests;
    const Relay::AnswerMemory& answerMemory;
    /** How long an attempt waits for its agent to be connected again. */
    Foundation::Duration recoveryTime {};
    Wire::Interleaving interleaving = Wire::Interleaving::On;
};

class ProxiedRequest final : public AttemptListener, public std::enable_shared_from_this<ProxiedRequest> {
public:
    ProxiedRequest(ProxyContext& context, std::shared_ptr<Web::HttpExchange> exchange, ParsedRequest request);
    ~ProxiedRequest() override;

    /** Starts the request. It ends at its deadline at the latest. */
    void start();

    void onAttemptMessage(const std::string& attempt, Wire::Message message) override;
    void onLinkLost(const std::string& attempt) override;
    void onLinkRestored(const std::string& attempt, const std::string& incarnation) override;

private:
    enum class Stage : std::uint8_t {
        /** The request is offered to an agent or its answer is in progress. */
        Active,
        /** The connection was lost, and the attempt waits for the same agent to be connected again. */
        Recovering,
        Ended,
    };

    // The following functions must be called on the strand.
    /** Offers the request to an eligible upstream, or ends it with an error. */
    void startAttempt();
    std::optional<std::size_t> selectCandidate(const std::vector<Routing::Candidate>& candidates);
    /** Starts an attempt at an agent. */
    void offerTo(const AgentLinkPtr& link, std::int64_t upstreamCount);
    Wire::Offer makeOffer(std::int64_t upstreamCount) const;
    /** Refuses the request and returns true if it is quarantined. */
    bool refuseIfQuarantined();
    void handle(const Wire::Granted& granted);
    void handle(const Wire::BodyAcknowledgement& acknowledgement);
    void handle(const Wire::Refused& refused);
    void handle(const Wire::AnswerHead& head);
    void handle(const Wire::AnswerChunk& chunk);
    void handle(const Wire::AnswerEnd& end);
    void handle(const Wire::RevokeResult& result);
    template <typename Other> void handle(const Other& other);
    /** Sends as many chunks as the window allows, given the number of chunks that the agent acknowledged. */
    void sendBodyChunks(std::uint64_t acknowledged);
    /** Retries the request, or waits for the agent to be connected again. */
    void handleLinkLost();
    /** Continues the attempt after its agent was connected again. */
    void resumeOnLink(const std::string& incarnation);
    /** Requests the missing part of the answer, or ends the attempt after too many such requests. */
    void requestResume();
    /** Ends an attempt without an answer, and retries the request or ends it with an error. */
    void endAttempt(Foundation::ResultCode code, Foundation::RunOutcome outcome, std::int64_t retryAfterMs,
        const std::string& detail);
    /** Sends a part of the answer to the caller, or buffers it if the answer is not streamed. */
    void deliver(const std::string& data);
    /** Cancels the attempt and ends the request, since its answer holds more memory than it may. */
    void endTooLargeAnswer();
    void beginStream();
    void finishAnswer(std::int64_t promptTokens);
    void finishError(CallerError error);
    void onDeadline();
    void onCallerGone();
    /** Removes the attempt from its link, so that it receives no more messages. */
    void closeAttempt();
    void finish();
    Foundation::Duration timeLeft() const;
    const Route* route() const;
    /** Adds a step to the trace of the request. */
    void recordStep(std::string step);
    /** Returns whether the answer is forwarded as it arrives; error replies are buffered. */
    bool isStreamed() const;
    Web::HttpReply makeReplyHead() const;

    ProxyContext& context;
    asio::strand<asio::io_context::executor_type> strand;
    std::shared_ptr<Web::HttpExchange> exchange;
    ParsedRequest request;
    std::shared_ptr<const RoutingTable> table;
    asio::steady_timer deadlineTimer;
    asio::steady_timer recoveryTimer;
    Foundation::TimePoint arrivedAt;
    Foundation::TimePoint deadline;
    Stage stage = Stage::Active;
    RequestTrace trace;

    // The state of the current attempt.
    AgentLinkPtr link;
    /** The id of the attempt; empty if there is none. */
    std::string attempt;
    /** The incarnation of the agent process when the attempt started. */
    std::string incarnation;
    std::optional<Wire::BodySender> bodySender;
    Routing::AnswerAssembly assembly;
    std::optional<Wire::AnswerHead> head;
    /** The body received so far, if the answer is not streamed. */
    std::string bufferedBody;
    /** What the answer holds: the buffered body, or what the caller of a stream has not received yet. */
    std::shared_ptr<Relay::AnswerMemory::Share> heldAnswer;
    int resumeCount = 0;

    // The state of the request across its attempts.
    /** The instances that the request was offered to. */
    std::vector<std::string> excludedInstances;
    int attemptCount = 0;
    /** The bytes of a streamed answer that were sent to the caller. */
    std::uint64_t bytesDelivered = 0;
    bool isStreamStarted = false;
    bool isFirstByteRecorded = false;
    /** Whether any attempt ran or may have run, whatever the outcome of the last one. */
    bool mayHaveRun = false;
    CallerError lastRefusal;
};

} // namespace Entry
