#pragma once

#include "claimprojection.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Idempotency {

/** A request to be executed under an idempotency key. */
struct ClaimRequest {
    std::string key;
    std::string attempt;
    std::string fingerprint;
};

/** The outcome of a claim. */
enum class ClaimOutcome : std::uint8_t {
    /** This process may dispatch the request once. */
    Won,
    /** Another attempt owns the key and has no answer yet. */
    OwnedByOther,
    /** The key has a stored answer. */
    Answered,
    /** The key was claimed for a different request. */
    DifferentRequest,
    /** It is unknown whether the claim reached the log; the request must not be dispatched. */
    Abandoned,
};

/** The decision about one claim. */
struct ClaimDecision {
    std::string attempt;
    ClaimOutcome outcome = ClaimOutcome::Abandoned;
    /** The stored answer if the outcome is Answered. */
    std::optional<StoredAnswer> answer;
};

class ClaimManager {
public:
    /**
     * @param incarnation the identifier of this incarnation of the process.
     * @param window the time for which a key stays claimed.
     */
    ClaimManager(std::string incarnation, std::chrono::milliseconds window);

    /**
     * Requests a claim. If the key is already claimed, the decision is made immediately.
     * @return the decision; none if it follows when the claim is read from the log.
     */
    std::optional<ClaimDecision> request(const ClaimRequest& request);

    /** Withdraws a claim that is not yet decided. No decision follows, so its request is never dispatched. */
    void withdraw(std::string_view attempt);

    /** Releases a claim that was won, whose request was not dispatched and never will be. */
    void release(std::string_view key, std::string_view attempt);

    /** Stores the answer to a request that was executed. */
    void storeAnswer(StoredAnswer answer);

    /**
     * Combines queued entries in one record and marks them as in flight.
     * @return the record to append; empty if there is nothing to append or an append is in flight.
     */
    std::string beginBatch();

    /** Must be called when the last batch was appended. Its claims are decided when the record is read from the log. */
    void onBatchAppended();

    /**
     * Must be called when it is unknown whether the last batch was appended.
     * @return the decisions about its claims, which are all abandoned.
     */
    std::vector<ClaimDecision> onBatchResultUnknown();

    /**
     * Applies a record that was read from the log.
     * @return the decisions about pending claims of this process in the record.
     */
    std::vector<ClaimDecision> applyRecord(std::uint64_t offset, LogTime time, std::string_view text);

    /** Returns the state of all keys after the records applied so far. */
    ClaimProjection& claims() { return this->projection; }
    const ClaimProjection& claims() const { return this->projection; }

private:
    struct PendingClaim {
        Claim claim;
        bool sent = false;
    };

    std::optional<ClaimDecision> decide(const Claim& claim) const;
    void releaseAbandoned(std::span<const ClaimEntry> entries);

    std::string incarnation;
    ClaimProjection projection;
    std::map<std::string, PendingClaim, std::less<>> pendingClaims;
    /** Attempts that were withdrawn or abandoned, but whose claim may still reach the log. */
    std::set<std::string, std::less<>> abandonedAttempts;
    /** Releases and answers that were not appended yet. */
    std::vector<ClaimEntry> queuedEntries;
    std::vector<ClaimEntry> entriesInFlight;
    bool appendInFlight = false;
};

} // namespace Idempotency
