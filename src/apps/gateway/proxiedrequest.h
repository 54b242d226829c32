#pragma once

#include "attempt.h"
#include "crashevidence.h"
#include "placementwait.h"
#include "proxycontext.h"
#include "silencelimits.h"

#include <foundation/clock.h>
#include <platform/httptransfers.h>
#include <relay/eventsplitter.h>
#include <relay/failoveraction.h>
#include <relay/silencedecision.h>
#include <web/httpserver.h>

#include "platform/messageheaders.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/**
 * Proxies one request: resolves its route and client account, dispatches it to an upstream and forwards the answer.
 * Fails over to another upstream if an attempt fails and the request may be sent again.
 */
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
    ProxiedRequest(ProxyContext& context, std::shared_ptr<Web::HttpExchange> exchange);

    void start();

    /** Refuses the request, which has not been started, so that its caller comes back later. */
    void refuse(Foundation::ResultCode code);

    /** Ends the request if its deadline has passed, and fails over if its upstream has been silent for too long. */
    void checkTimeouts(Foundation::TimePoint now);

private:
    void readRequest();
    /** Resolves the route, the client account and the service. Refuses the request and returns false on failure. */
    bool resolveRoute();
    /** Resolves the client account. Refuses the request and returns false on failure. */
    bool authenticate(const Policy::TrafficPolicy& currentPolicy);
    std::string makeFingerprint() const;
    /** Ends the request and returns true if it is quarantined. */
    bool refuseIfQuarantined();
    /** Ends the request and returns true if it has a prompt part that crashes upstreams. */
    bool refuseIfPartQuarantined();
    /** Ends a request that no upstream has and returns true if it cannot be answered before a planned stop ends. */
    bool refuseBeforeStop(Foundation::TimePoint now);
    /** Ends a request that an upstream has and returns true if its answer has not come before a planned stop ends. */
    bool endBeforeStop(Foundation::TimePoint now);
    /** Sends the request to an upstream, once one takes it. */
    void dispatch();
    void createPlacementWait();
    /** Returns the request as it is queued now. */
    PendingPrompt makePendingPrompt() const;
    /** The limits of the route; the request must have one. */
    SilenceLimits silenceLimits() const { return { this->context, *this->route }; }
    /** Returns the prompt as it would be queued if the current attempt ended now. */
    PendingPrompt makeNextPrompt() const;
    void beginAttempt(const Assignment& assignment);
    void reserveHelperMemory();
    /** Returns whether the work of an attempt goes on, which uses the memory reserved for it. */
    bool usesReservedMemory(std::uint64_t attemptNumber) const;
    void sendAttempt(const std::vector<std::string>& leaseNames);
    /** Returns whether the current attempt must not use a connection that earlier calls left open. */
    bool needsNewConnection() const;
    PlatformAdapter::ForwardingHeaders makeForwardingHeaders(const std::vector<std::string>& leaseNames) const;

    void onAnswerHead(std::uint64_t attemptNumber, const std::string& generation, Foundation::TimePoint sentAt,
        Platform::HttpAnswerHead head);
    /** Records what an upstream says of itself in the head of an answer. */
    void recordNotices(
        const std::string& generation, Foundation::TimePoint sentAt, const PlatformAdapter::AnswerHeaders& headers);
    void onAnswerData(std::uint64_t attemptNumber, std::string_view data);
    void onCallEnded(std::uint64_t attemptNumber, const Platform::HttpCallResult& result);
    /** Handles data of an earlier attempt, or the orderly end of its answer. */
    void onLateData(std::uint64_t attemptNumber);
    /** Handles that the connection of an earlier attempt has broken. */
    void onLateBreak(std::uint64_t attemptNumber, const Platform::HttpCallResult& result);
    void logLateBreak(const std::string& generation, std::string_view error) const;
    /** Handles that an earlier attempt has not reached its upstream, so it has not run. */
    void onLateNotConnected(std::uint64_t attemptNumber, Relay::Observation observation);
    /**
     * Continues with the given attempt if it is parked; its upstream serves the request.
     * Returns whether it is the current attempt now.
     */
    bool resumeParkedAttempt(std::uint64_t attemptNumber);
    /** Continues with a parked attempt, whose upstream may still go on. Parks the current attempt if it is at work. */
    void returnToParkedAttempt(std::uint64_t attemptNumber);
    ParkedAttempt* findParkedAttempt(std::uint64_t attemptNumber);
    /** Removes a parked attempt from the list and returns it; none if there is none with this number. */
    std::optional<ParkedAttempt> takeParkedAttempt(std::uint64_t attemptNumber);
    /** Parks the current attempt, whose upstream has not delivered anything, or ends it if it is not at work. */
    void setCurrentAttemptAside();
    /** Sets the current attempt aside, so that its answer can still be used if its upstream goes on soon. */
    void parkAttempt();
    /** Parks the current attempt and records the silence of its upstream. */
    void parkSilentAttempt();
    /** Gives the parked attempts up; their calls are watched to see whether their upstreams go on. */
    void dropParkedAttempts();
    /** Suspects crashes of the parked attempts' upstreams after too long a silence; ends attempts at ended ones. */
    void checkParkedAttempts(Foundation::TimePoint now);
    /** Records that the answer of the current attempt has received data. */
    void recordData();
    void onStreamData(std::string_view data);
    /** Handles data of a parked stream, which is continued if they complete an event. */
    void onParkedStreamData(ParkedAttempt& parked, std::string_view data);
    void dropInvalidParkedAttempt(std::uint64_t attemptNumber);
    /** Forwards complete events of the current attempt. */
    void forwardEvents(std::string completeEvents);
    /** Stops reading a stream whose caller receives it more slowly than it arrives. */
    void pauseForSlowCaller();
    /** Continues to read a stream after its caller has received a part of it. */
    void onSentToCaller();
    void onAnswerTooLarge();
    /** Ends an attempt that the upstream has rejected without running it. */
    void onRejected();
    /** Ends an attempt for which no connection could be established. */
    void onNotConnected(Relay::Observation observation);
    /** Continues after an attempt whose reused connection ended before the answer. */
    void onKeptConnectionLost(const Platform::HttpCallResult& result);
    /**
     * Sends the request once more to the upstream of the current attempt, whose reused connection ended.
     * @param isLikelyUnread whether the upstream has most likely not read the first send.
     * @return false if it may not be sent there.
     */
    bool sendAgain(bool isLikelyUnread);
    /** Returns how often the request may have run at most, at its end. */
    int maximumRuns() const { return this->route->maximumRuns + this->unreadSends; }
    /** Asks an upstream that lost a kept connection whether it goes on, which decides whether it may have crashed. */
    void checkLossOfConnection();
    void beginStream();
    void recordFirstEvent();
    /** Returns why the answer that has arrived is not complete; empty if it is complete. */
    static std::string findDefect(
        const Platform::HttpCallResult& result, const Attempt& ended, const Relay::EventSplitter& endedEvents);
    void finishStream();
    void deliverBufferedAnswer();
    /** Returns whether a failed answer that arrived completely is dropped and the request run again. */
    bool shouldRetryFailedAnswer() const;

    /**
     * Ends the attempt and releases its call, its memory and its entry in the load ledger.
     * @param observation how the upstream behaved; none if the attempt says nothing about its health.
     */
    void closeAttempt(std::optional<Relay::Observation> observation);
    /** Releases what an attempt holds that is not the current one any more. */
    void releaseAttempt(const Attempt& closed, std::optional<Relay::Observation> observation);
    void recordObservation(const std::string& generation, Relay::Observation observation);
    /** Returns the progress that the request has if its attempt ends with this outcome. */
    Relay::RequestProgress progressAfter(Foundation::RunOutcome outcome) const;
    void onAttemptFailed(Foundation::RunOutcome outcome, Foundation::ResultCode code, bool hasReachedUpstream);
    /** Logs and counts that the request is sent again, and prepares its stream for that. */
    void prepareFailover(Relay::FailoverAction action, Foundation::ResultCode code);
    void performFailoverAction(Relay::FailoverAction action, Foundation::ResultCode code);
    void fail(Foundation::ResultCode code, std::optional<Foundation::Duration> retryAfter);
    void onCallerGone();
    void finish();
    Foundation::Duration timeLeft() const;
    /** Spends a unit of the retry budget for the next send. Returns false if the budget is exhausted. */
    bool trySpendRetry(Foundation::TimePoint now);
    /** Gives the unit back that was spent for a send that has not taken place. */
    void giveUnsentRetryBack();
    /** Logs, once for each wait, what the request waits for if its caller has waited for longer than the target. */
    void logIfLate(Foundation::TimePoint now);
    /** Returns what the request waits for, as a word for logs and metrics. */
    const char* awaitedParty() const;
    /** Fails the request over, ends it, or keeps its attempt, whose upstream is silent. */
    void handleSilence(Foundation::TimePoint now);
    void keepSilentAttempt(Relay::KeepReason reason);
    /** Releases the memory of an attempt whose upstream has ended while its caller still receives what it has sent. */
    void releaseMemoryOfPausedAttempt();
    /** Updates since when the upstream of an attempt that holds memory elsewhere has been doubtful. */
    void updateDoubt(Foundation::TimePoint now);
    /** Asks the doubtful upstream of the current attempt whether it runs. */
    void checkUpstreamStatus();
    /** Keeps the call of an attempt open after it, to see whether its upstream goes on. */
    void watchSilentAttempt(Attempt& silent, std::uint64_t number);
    /** Records an attempt that may have run and is given up without an answer. */
    void recordUnansweredAttempt(std::string_view ending);
    void recordHelperFailure(const std::string& address);

    ProxyContext& context;
    std::shared_ptr<Web::HttpExchange> exchange;
    PlatformAdapter::CallerRequest request;
    /** Owns the route and the account. */
    std::shared_ptr<const Policy::TrafficPolicy> policy;
    const Policy::Route* route = nullptr;
    const Policy::Account* account = nullptr;
    UpstreamCriteria criteria;
    CrashEvidence crashEvidence;
    Foundation::TimePoint arrivedAt {};
    Foundation::TimePoint deadline {};
    /** When the caller last received a part of the answer; the arrival of the request before the first one. */
    Foundation::TimePoint lastDeliveredAt {};
    /** Whether the wait since lastDeliveredAt was logged as longer than the target. */
    bool isWaitLogged = false;
    /** None before the request is dispatched. */
    std::shared_ptr<PlacementWait> placementWait;
    std::optional<Attempt> attempt;
    std::vector<ParkedAttempt> parkedAttempts;
    /** Identifies the current attempt, so that callbacks of earlier ones are ignored. */
    std::uint64_t currentAttemptNumber = 0;
    std::uint64_t lastAttemptNumber = 0;
    Relay::EventSplitter events;
    /** The calls of earlier attempts that are watched, by number of the attempt. */
    std::map<std::uint64_t, Platform::CallId> watchedCalls;
    /** Attempts in which the request has run or may have run. */
    int runs = 0;
    /** All attempts that were sent, including rejected ones. */
    int sends = 0;
    /** The generations that have rejected this request. */
    std::set<std::string> rejectingGenerations;
    /** The generations at which a reused connection ended before the answer. */
    std::set<std::string> disconnectingGenerations;
    /** Sends that were most likely not read and were repeated at the same upstream. They count as runs, too. */
    int unreadSends = 0;
    /** When a unit of the retry budget was spent for the next send; none if that needs none or was sent. */
    std::optional<Foundation::TimePoint> unsentRetrySpentAt;
    bool hasStreamBegun = false;
    bool hasEnded = false;
};

} // namespace Gateway
