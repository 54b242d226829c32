#pragma once

#include "crashattribution.h"
#include "partcrash.h"
#include "partpopularity.h"

#include <foundation/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Quarantine {

class PromptPartRegistry {
public:
    /** The time for which a confirmed crash stays recorded. */
    static constexpr Foundation::Duration lifetime = std::chrono::hours(6);

    /** @param clock the time source; must outlive the registry. */
    explicit PromptPartRegistry(const Foundation::Clock& clock);

    /**
     * Records that requests with these parts were or may have been running at a crash. Notices of the same crash are
     * merged.
     * @return whether a part or the certainty was new.
     */
    bool record(const PartCrash& crash);

    /**
     * Raises possible crashes of a generation to suspected ones, after another request found the upstream to be down.
     * @return the crashes that were raised, with the parts that count.
     */
    std::vector<PartCrash> suspectGeneration(std::string_view generation);

    /**
     * Removes the possible crashes of a generation, which was silent and has gone on.
     * @return whether there were any.
     */
    bool withdrawGeneration(std::string_view generation);

    /**
     * Confirms the crashes whose generations have ended.
     * @param hasCrashed returns whether a generation has ended without having said that it leaves.
     * @return the crashes that were confirmed, with the parts that count.
     */
    std::vector<PartCrash> confirmEnded(const std::function<bool(std::string_view generation)>& hasCrashed);

    /**
     * Records that a request with these parts ran to its end, which a request with the cause of crashes never does. So
     * none of the parts caused a crash that happened before.
     * @return the parts against which a crash was recorded until then, which the other processes should be told.
     */
    std::vector<PromptPart> recordCompletion(
        std::span<const PromptPart> parts, Foundation::TimePoint completedAt = Foundation::TimePoint::max());

    /** Counts a request that arrived, whether it may run or not. @param parts its parts, each once. */
    void recordArrival(std::span<const PromptPart> parts) { this->popularity.recordArrival(parts); }

    /**
     * Returns why a request with these parts must not run, or null if it may. A request runs unless it has all the
     * parts that cannot be told apart.
     */
    const CrashCandidate* findCause(std::span<const PromptPart> parts) const;

    /** Returns the candidates as of now, causes first; for log lines. */
    const std::vector<CrashCandidate>& candidates() const;

    /** Returns whether the requests with the parts of a cause are still refused. */
    bool isInForce(const CrashCandidate& cause) const;

    /** Returns all crashes with the parts that still count, to be sent to processes that start. */
    std::vector<PartCrash> crashes() const;

    /**
     * Returns the crashes against which a part occurs that has at least so many of them, with these parts only. Of very
     * many parts, those with the most crashes are returned.
     */
    std::vector<PartCrash> repeatedCrashes(std::size_t minimumCount) const;

    /** Returns the recent completions of parts that occur in recorded crashes. */
    std::vector<PartCompletion> completions() const;

    std::size_t size() const { return this->records.size(); }

private:
    struct Member {
        CrashCertainty certainty = CrashCertainty::Possible;
        Foundation::TimePoint lostAt {};
        /** Whether a request with the part has run to its end since the crash. */
        bool isAcquitted = false;
    };

    struct Record {
        CrashCertainty certainty = CrashCertainty::Possible;
        Foundation::TimePoint aliveAt {};
        /** When the crash became at least a suspected one. */
        Foundation::TimePoint detectedAt {};
        /** When the newest of its attempts was lost or its certainty last rose. */
        Foundation::TimePoint lastNoticeAt {};
        std::unordered_map<PromptPart, Member> members;
    };

    using Records = std::map<std::string, Record, std::less<>>;

    bool addMember(Record& record, PromptPart part, const PartCrash& crash);
    void acquit(PromptPart part, Member& member);
    /** Removes the members that say least of the cause until the record is no longer too large. */
    void trimMembers(std::string_view name, Record& record);
    /** Counts one member of a part less as open. */
    void closeMember(PromptPart part);
    /** The same for all members of a record that is about to be removed. */
    void closeMembers(const Record& record);
    template <typename Predicate> std::size_t removeRecords(const Predicate& isRemoved)
    {
        return std::erase_if(this->records, [&](const auto& entry) {
            const bool mustGo = isRemoved(entry);
            if (mustGo)
                this->closeMembers(entry.second);
            return mustGo;
        });
    }
    bool raise(Record& record, CrashCertainty certainty, Foundation::TimePoint detectedAt);
    bool isValid(const Record& record) const;
    bool counts(const Record& record) const;
    bool counts(const Record& record, const Member& member) const;
    /** Returns whether the record has a member that counts if the crash is detected now. */
    bool hasRecentMember(const Record& record) const;
    /** Merges crashes that were numbered as several, although their generation ended only once. */
    void mergeConfirmed();
    /** Returns the parts that may have caused a crash, in any order. */
    std::vector<PromptPart> countedParts(const Record& record) const;
    PartCrash makeCrash(const std::string& name, const Record& record) const;
    void removeExpired();
    void removeOneRecord();
    /** Attributes the crashes again if the evidence has changed. */
    void refresh() const;

    const Foundation::Clock& clock;
    PartPopularity popularity;
    /** By name of the crash. */
    Records records;
    /** The number of records in which a part is a member that is not acquitted. */
    std::unordered_map<PromptPart, std::size_t> openCounts;
    /** When requests with a part last ran to their end; only recent ones. */
    std::map<PromptPart, Foundation::TimePoint> lastCompletions;
    Foundation::TimePoint nextExpiry {};
    mutable std::vector<CrashCandidate> currentCandidates;
    mutable bool isOutdated = false;
    mutable Foundation::TimePoint nextRefresh {};
};

} // namespace Quarantine
