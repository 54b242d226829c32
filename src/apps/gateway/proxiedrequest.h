#pragma once

#include "dispatcher.h"
#include "memoryleasemanager.h"
#include "partcrashexchange.h"
#include "storesynchronizer.h"

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <platform/httptransfers.h>
#include <quarantine/silencewatch.h>
#include <quarantine/suspectregistry.h>
#include <relay/answermemory.h>
#include <relay/eventsplitter.h>
#include <relay/failoveraction.h>
#include <relay/localretrybudget.h>
#include <relay/silencedecision.h>
#include <relay/upstreamhealth.h>
#include <web/httpserver.h>

#include "platform/messageheaders.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

class ProxiedRequest;

/** Services and callbacks that all proxied requests of a gateway share. */
struct ProxyContext {
    const Foundation::Clock& clock;
    Foundation::MetricRegistry& metrics;
    Platform::HttpTransfers& transfers;
    StoreSynchronizer& storeSynchronizer;
    Dispatcher& dispatcher;
    Placement::LoadLedger& ledger;
    Relay::LocalRetryBudget& retryBudget;
    Relay::UpstreamHealth& health;
    Quarantine::SuspectRegistry& suspects;
    Quarantine::SilenceWatch& silenceWatch;
    Quarantine::PromptPartRegistry& promptParts;
    PartCrashExchange& partCrashes;
    Relay::AnswerMemory& answerMemory;
    MemoryLeaseManager<PlatformAdapter::EngineOrders>& memoryLeases;
    PermitExchange& permits;
    /** Called with what an answer to a request says of the limit of its upstream; none if it names none. */
    std::function<void(
        const std::string& generation, std::optional<double> requestsPerSecond, Foundation::TimePoint sentAt)>
        onLimitInAnswer;
    /** Called after a change of the ledger or of the health of upstreams; added load is published at once. */
    std::function<void(bool isAdded)> onLoadChanged;
    /** Called with new or more certain crash notices, to be sent to the other gateways and stored. */
    std::function<void(const std::vector<Quarantine::CrashNotice>&)> onSuspects;
    /** Called with the generation of an upstream that has broken or refused a connection. */
    std::function<void(const std::string& generation)> onUpstreamDown;
    /** Called with a possible crash that was announced and whose attempt has not run. */
    std::function<void(const Quarantine::CrashNotice&)> onSuspectWithdrawn;
    /** Called with the generation of an upstream that was silent and has gone on. */
    std::function<void(const std::string& generation)> onSilenceEnded;
    /** Called when the connection of a watched attempt has broken. */
    std::function<void(const Quarantine::WatchedAttempt&)> onSilentCrash;
    /** Called with the fingerprint of a request that has run to its end although crashes were recorded against it. */
    std::function<void(const std::string& fingerprint)> onExonerated;
    /** Called when an upstream is ejected and the other gateways should eject it too. */
    std::function<void(const Wire::UpstreamFailureNotice&)> onUpstreamEjected;
    /** Called when a request has ended. */
    std::function<void(const ProxiedRequest&)> onEnded;
    /** Returns whether the process is shutting down, so that callers must use another one from now on. */
    std::function<bool()> isShuttingDown;
    /** Returns whether the process stops so soon that a new request might not complete before. */
    std::function<bool()> isShutdownImminent;
};

/** One dispatch of a request to one upstream. */
struct Attempt {
    Assignment assignment;
    Platform::CallId call = 0;
    /** Memory reserved at prefill helpers; 0 if there is none. */
    MemoryReservationId memoryReservation = 0;
    Foundation::TimePoint sentAt {};
    Foundation::TimePoint lastDataAt {};
    /** When it was sent, or its answer last progressed: by its head, or by a complete event if it is a stream. */
    Foundation::TimePoint lastProgressAt {};
    /** Silence does not cause a failover sooner, since the last one has failed. */
    Foundation::TimePoint failoverNotBefore {};
    /** Whether no event of the answer has arrived yet. */
    bool isPrefilling = true;
    std::optional<Platform::HttpAnswerHead> head;
    /** The decoded headers of the answer. */
    PlatformAdapter::AnswerHeaders headers;
    /** Whether the answer is an event stream that is forwarded as it arrives. */
    bool isStream = false;
    /** The body received so far, if the answer is not a stream. */
    std::string body;
    /** What the answer holds: its body, or the bytes of a stream that the caller has not received yet. */
    std::shared_ptr<Relay::AnswerMemory::Share> memory;
    /** Whether no more of a stream is read until its caller has received what was sent. */
    bool isPaused = false;
    /** The size of the body of a rejection, which is not forwarded. */
    std::size_t rejectionBytes = 0;
    /** Whether the call stays open after the attempt, to see whether the silent upstream goes on. */
    bool isWatched = false;
    /** Whether it was logged why the attempt is kept although its upstream is silent. */
    bool isKeptLogged = false;
    /** Whether a crash was recorded although the attempt is kept or parked. */
    bool isCrashRecorded = false;
    /** Since when the upstream has been doubtful or last proved that it runs; only if it is doubtful. */
    std::optional<Foundation::TimePoint> doubtfulSince;
    /** When the doubtful upstream is asked again whether it runs; none while it is being asked. */
    std::optional<Foundation::TimePoint> nextStatusCheckAt = Foundation::TimePoint {};

    /** Returns whether the upstream has stated that it does not run the request. */
    bool isRejected() const { return this->headers.isNotExecuted; }
};

/** An attempt that may go on while another one is the current one; most have a silent upstream. */
struct ParkedAttempt {
    std::uint64_t number = 0;
    Attempt attempt;
    /** The state of its stream. */
    Relay::EventSplitter events;
};

/**
 * Proxies one request: resolves its route and client account, dispatches it to an upstream and forwards the answer.
 * Fails over to another upstream if an attempt fails and the request may be sent again.
 */
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest> {
public:
    ProxiedRequest(ProxyContext& context, std::shared_ptr<Web::HttpExchange> exchange);

    void start();

    /** Ends the request if its deadline has passed, and fails over if its upstream has been silent for too long. */
    void checkTimeouts(Foundation::TimePoint now);

private:
    /** Resolves the route, the client account and the service. Refuses the request and returns false on failure. */
    bool resolveRoute();
    /** Resolves the client account. Refuses the request and returns false on failure. */
    bool authenticate(const Policy::TrafficPolicy& currentPolicy);
    std::string makeFingerprint() const;
    /** Ends the request and returns true if it is quarantined. */
    bool refuseIfQuarantined();
    /** Ends the request and returns true if it has a prompt part that crashes upstreams. */
    bool refuseIfPartQuarantined();
    /** Sends the request to an upstream, once one takes it. */
    void dispatch();
    /** Asks for a permit for one of several upstreams, without which none takes the request. */
    void requestPermit(const std::vector<std::string>& upstreamGenerations);
    void onPermitDecided(std::optional<Foundation::Duration> retryAfter);
    /** Sends the request to an upstream that takes it now, or queues it if it is a prompt. */
    void assign();
    void enqueuePrompt();
    PendingPrompt makePendingPrompt() const;
    /** Returns the prompt as it would be queued if the current attempt ended now. */
    PendingPrompt makeNextPrompt() const;
    void beginAttempt(const Assignment& assignment);
    void reserveHelperMemory();
    /** Returns whether the work of an attempt goes on, which uses the memory reserved for it. */
    bool usesReservedMemory(std::uint64_t attemptNumber) const;
    void sendAttempt(const std::vector<std::string>& leaseNames);
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
    void onLateBreak(std::uint64_t attemptNumber, std::string_view error);
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
    void performFailoverAction(Relay::FailoverAction action, Foundation::ResultCode code);
    void fail(Foundation::ResultCode code, std::optional<Foundation::Duration> retryAfter);
    void onCallerGone();
    void finish();
    Foundation::Duration timeLeft() const;
    /** Spends a unit of the retry budget for the next send. Returns false if the budget is exhausted. */
    bool trySpendRetry(Foundation::TimePoint now);
    /** Gives up waiting for a permit. */
    void withdrawPermitRequest();
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
    /** Returns what is known about the silence of an attempt. @param failover how the request goes on after it. */
    Relay::SilentAttempt describeSilence(
        const Attempt& silent, Foundation::TimePoint now, Relay::FailoverAction failover) const;
    /** Keeps the call of an attempt open after it, to see whether its upstream goes on. */
    void watchSilentAttempt(Attempt& silent, std::uint64_t number);
    /** Returns whether the upstream of an attempt is no longer listed or refuses connections. */
    bool isUpstreamDoubtful(const Attempt& silent) const;
    /** Returns whether the upstream of the current attempt has been silent for longer than it is expected to be. */
    bool isUpstreamSilent(Foundation::TimePoint now) const;
    /** Returns whether the upstream of an attempt has been silent for longer than if it were as fast as expected. */
    bool isLate(const Attempt& silent) const;
    /** Returns from when on the silence of an attempt counts as a crash of its upstream. */
    Foundation::TimePoint crashSuspectedFrom(const Attempt& silent) const;
    /** Returns after which silence the work of an attempt does not explain it any more. */
    Foundation::Duration crashSilence(const Attempt& silent) const;
    /** Returns how long a listed upstream may stay silent. */
    Foundation::Duration inactivityTimeout(const Attempt& silent) const;
    /** Returns how long an upstream stays silent at most if it is as fast as expected. */
    Foundation::Duration expectedSilence(const Attempt& silent) const;
    /** Records an attempt that may have run and is given up without an answer. */
    void recordUnansweredAttempt(std::string_view ending);
    /** Records that the request was or may have been running when the upstream of the current attempt crashed. */
    void recordCrash(Quarantine::CrashCertainty certainty, std::string_view ending);
    void recordCrash(const Attempt& crashed, Quarantine::CrashCertainty certainty, std::string_view ending);
    /** Records that the prompt parts of the request were or may have been running at a crash. */
    void recordPartCrash(const Attempt& crashed, const std::string& crash, Quarantine::CrashCertainty certainty);
    /** Tells the other gateways that a suspect is about to run, in case this process ends before the attempt does. */
    void announceSuspect();
    /** Takes the announcement back after the attempt turned out not to have run. */
    void withdrawAnnouncement(const Attempt& notRun);
    /** Returns the name under which a crash at the current attempt is recorded; none if it was caused before. */
    std::optional<std::string> crashName(const Attempt& crashed) const;
    /** Removes what is recorded against the request after it has run to its end. */
    void exonerate();
    void recordHelperFailure(const std::string& address);

    ProxyContext& context;
    std::shared_ptr<Web::HttpExchange> exchange;
    PlatformAdapter::CallerRequest request;
    /** Owns the route and the account. */
    std::shared_ptr<const Policy::TrafficPolicy> policy;
    const Policy::Route* route = nullptr;
    const Policy::Account* account = nullptr;
    UpstreamCriteria criteria;
    /** Identifies the request for the crash quarantine: a hash of its target, its client account and its body. */
    std::string fingerprint;
    Foundation::TimePoint arrivedAt {};
    Foundation::TimePoint deadline {};
    /** When the caller last received a part of the answer; the arrival of the request before the first one. */
    Foundation::TimePoint lastDeliveredAt {};
    /** Whether the wait since lastDeliveredAt was logged as longer than the target. */
    bool isWaitLogged = false;
    /** 0 while the request is not queued. */
    Placement::QueuedPromptId queuedPromptId = 0;
    /** 0 while the request waits for no permit. */
    PermitRequestId permitRequestId = 0;
    /** When a stream that has begun asks for a permit again; none if it does not wait for that. */
    std::optional<Foundation::TimePoint> nextPermitRequestAt;
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
    /** When a unit of the retry budget was spent for the next send; none if that needs none or was sent. */
    std::optional<Foundation::TimePoint> unsentRetrySpentAt;
    bool hasStreamBegun = false;
    bool hasEnded = false;
};

} // namespace Gateway
