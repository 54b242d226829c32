#pragma once

#include "accountlimiter.h"
#include "configuredqueue.h"
#include "memoryledger.h"
#include "prefillbacklog.h"
#include "prefillratemonitor.h"
#include "queuedrequest.h"
#include "startupramp.h"

#include <configuration/environmentdocument.h>
#include <foundation/resultcode.h>
#include <membership/upstreamload.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Admission {

/** Whether a request was running when an upstream crashed. */
enum class Suspicion : std::uint8_t {
    None,
    Suspect,
};

/** A request that an entry offers to the agent. */
struct OfferedRequest {
    QueuedRequest queued;
    std::int64_t outputTokens = 0;
    Configuration::AccountDefinition account;
    std::int64_t upstreamCount = 1;
    Suspicion suspicion = Suspicion::None;
};

/** A refusal before dispatch, with the time after which to retry. */
struct Refusal {
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
    Foundation::Duration retryAfter {};
};

/** A request that was removed from the queue because it can no longer start, with the reason. */
struct ExpiredRequest {
    std::string attempt;
    Refusal refusal;
};

class AdmissionController {
public:
    /** @param clock the time source; must outlive the controller. */
    AdmissionController(const Foundation::Clock& clock, const Configuration::UpstreamDefinition& upstream,
        const Configuration::LimitsDefinition& limits);

    /** Applies a changed environment document. */
    void reconfigure(const Configuration::UpstreamDefinition& upstream, const Configuration::LimitsDefinition& limits,
        const Configuration::PolicyDefinition& policies);

    /** Sets whether the upstream accepts requests, or why it does not. */
    void setAvailability(Membership::Availability availability);

    /**
     * Queues a request unless it has to be refused. A queued request waits until startReadyRequests() or
     * removeExpired() returns it, or until withdraw() removes it.
     * @return the refusal, or nothing if the request was queued.
     */
    std::optional<Refusal> offer(const OfferedRequest& request);

    /** Starts the queued requests whose resources are free: reserves the resources and returns the requests. */
    std::vector<QueuedRequest> startReadyRequests();

    /**
     * Removes and returns the queued requests that cannot meet their deadline any more, all of them if the upstream is
     * not available, and a suspect that has waited too long for the running requests to end.
     */
    std::vector<ExpiredRequest> removeExpired();

    /**
     * Removes a queued request.
     * @return whether the request was queued; it then has not run and will not run.
     */
    bool withdraw(std::string_view attempt);

    /** Releases the reservations of a started request that was not dispatched after all. */
    void revertStart(std::string_view attempt);

    /**
     * Records the first token of a started request.
     * @return whether the upstream now counts as cold.
     */
    bool recordFirstToken(std::string_view attempt);

    /**
     * Checks whether the prefill of the upstream is far too slow for its start-up limits. Has to be called every few
     * milliseconds.
     * @return whether the upstream now counts as cold.
     */
    bool detectSlowPrefill();

    /**
     * Returns the attempts to cancel at a cold upstream: those without a first token, the most recently started first,
     * until the running requests are within the start-up limit.
     */
    std::vector<std::string> attemptsAboveStartupLimit() const;

    /** Records that the upstream has completed a request and holds nothing for it; releases its slot and memory. */
    void recordCompletion(std::string_view attempt);

    /** Records that a request failed or is being cancelled. Its slot and memory stay reserved until releaseStream(). */
    void recordAbort(std::string_view attempt);

    /**
     * Releases the slot and memory of a stream after the upstream has acknowledged its cancellation, or reports no such
     * stream. The stream is an aborted attempt or a foreign stream.
     */
    void releaseStream(std::string_view stream);

    /** Reserves the memory of a stream at the upstream that belongs to no attempt of this agent. */
    void recordForeignStream(std::string_view stream, std::int64_t tokens);

    /** Drops the running requests and their reservations after a restart of the upstream. Queued requests stay. */
    void recordRestart();

    /** Returns the load that the agent reports to entries. */
    Membership::UpstreamLoad load() const;

    const MemoryLedger& memory() const { return this->ledger; }
    const StartupRamp& startupRamp() const { return this->ramp; }

private:
    struct RunningRequest {
        QueuedRequest request;
        /** The prompt tokens that were ahead of the request at its start, plus its own. */
        std::int64_t prefillTokens = 0;
        Foundation::TimePoint startedAt;
        bool hasFirstToken = false;
    };

    /** A suspect that waits to run alone. */
    struct Trial {
        QueuedRequest request;
        Foundation::TimePoint queuedSince;
    };

    std::optional<Refusal> refusalForState() const;
    std::optional<Refusal> refusalForSize(const OfferedRequest& request) const;
    std::optional<Refusal> refusalForDeadline(const OfferedRequest& request) const;
    std::int64_t tokensAhead(Configuration::LengthClass lengthClass) const;
    Foundation::Duration expectedWait(Configuration::LengthClass lengthClass) const;
    Foundation::Duration prefillTimeAtStartupLimit(std::int64_t tokens) const;
    bool tryStart(const QueuedRequest& request);
    bool tryStartTrial(std::vector<QueuedRequest>& started);
    void recordStart(const QueuedRequest& request);
    void removeRunning(std::string_view attempt);
    std::optional<ExpiredRequest> expireTrial();
    Refusal expiryRefusal(const QueuedRequest& request) const;
    bool isExpired(const QueuedRequest& request) const;

    const Foundation::Clock& clock;
    Configuration::UpstreamDefinition upstream;
    Configuration::LimitsDefinition limits;
    Membership::Availability availability = Membership::Availability::NotReady;
    MemoryLedger ledger;
    StartupRamp ramp;
    ConfiguredQueue queue;
    PrefillBacklog backlog;
    PrefillRateMonitor prefillRateMonitor;
    AccountLimiter accounts;
    std::map<std::string, RunningRequest, std::less<>> running;
    /** Attempts that have ended at this agent but may still run at the upstream; each keeps its slot and its memory. */
    std::set<std::string, std::less<>> cancelling;
    std::optional<Trial> trial;
    /** The attempt of the suspect that runs alone; empty if there is none. */
    std::string runningTrial;
};

} // namespace Admission
