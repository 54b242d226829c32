#pragma once

#include "answerrecorder.h"

#include <admission/queuedrequest.h>
#include <foundation/clock.h>
#include <platform/httptransfers.h>
#include <relay/answermemory.h>
#include <wire/endpoint.h>
#include <wire/messages.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Agent {

/** The progress of an attempt that has not ended. */
enum class AttemptPhase : std::uint8_t {
    /** Queued at the admission controller. */
    Queued,
    /** Resources are reserved; the body has not arrived completely. */
    AwaitingBody,
    /** Resources are reserved; the claim is not decided yet. */
    Claiming,
    /** Dispatched to the upstream. */
    Running,
    /** Dispatched, but the call was interrupted; the attempt waits for a status check of the upstream. */
    Interrupted,
};

/** One attempt of an entry to run a request at the upstream. */
struct Attempt {
    Wire::Offer offer;
    std::string body;
    /** The number of body chunks received after the grant. */
    std::uint64_t receivedBodyChunks = 0;
    /** 0 while the entry is not connected. */
    Wire::ConnectionId connection = 0;
    std::string entry;
    std::string claimKey;
    Foundation::TimePoint deadline;
    /**
     * The start of the orphan grace while no entry is connected: the loss of the connection, or the deadline for a call
     * that must not be cancelled earlier.
     */
    Foundation::TimePoint orphanedSince;
    AttemptPhase phase = AttemptPhase::Queued;
    /** The priority at the engine; lower is served first. */
    int priority = 0;
    Platform::CallId call = 0;
    /** How often the call was resumed after an interruption. */
    int resumes = 0;
    /** Whether the upstream answered the last resume request with an error, so that the rest of the answer is lost. */
    bool resumeRefused = false;
    AnswerRecorder answer;
    /** What the answer holds; null before the attempt is dispatched. */
    std::shared_ptr<Relay::AnswerMemory::Share> answerMemory;

    const std::string& id() const { return this->offer.attempt; }
    bool isDispatched() const
    {
        return this->phase == AttemptPhase::Running || this->phase == AttemptPhase::Interrupted;
    }
    bool isBodyComplete() const { return this->body.size() >= this->offer.bodyBytes; }
};

using AttemptPtr = std::shared_ptr<Attempt>;

/** An attempt that has ended, retained for entries that resume or revoke it later. */
struct EndedAttempt {
    Foundation::RunOutcome outcome = Foundation::RunOutcome::NotRun;
    /** The refusal, to be sent again if the entry did not receive it. */
    std::optional<Wire::Refused> refusal;
    /** The attempt with its complete answer, to be sent again. Null without an answer or after its retention time. */
    AttemptPtr answeredAttempt;
    Foundation::TimePoint endedAt;
};

class AttemptTable {
public:
    /** @param clock the time source; must outlive the table. */
    explicit AttemptTable(const Foundation::Clock& clock);

    void add(AttemptPtr attempt);

    /** Returns the attempt, or nullptr if it is unknown or has ended. */
    AttemptPtr find(std::string_view attempt) const;

    /** Returns an ended attempt, or nullptr if it is unknown, has not ended or was removed after its retention time. */
    EndedAttempt* findEnded(std::string_view attempt);

    /** Ends an attempt. An attempt that has not arrived yet is recorded as ended, so that its offer is ignored. */
    void end(std::string_view attempt, EndedAttempt ended);

    /** Removes ended attempts after their retention time, and their stored answers after a shorter one. */
    void removeExpired();

    /** Returns all attempts that have not ended. */
    std::vector<AttemptPtr> all() const;

    std::size_t size() const { return this->attempts.size(); }

private:
    const Foundation::Clock& clock;
    std::map<std::string, AttemptPtr, std::less<>> attempts;
    std::map<std::string, EndedAttempt, std::less<>> endedAttempts;
    std::deque<std::string> endedOrder;
};

} // namespace Agent
