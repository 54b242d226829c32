#pragma once

#include "crashnotice.h"

#include <foundation/clock.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Quarantine {

/** The state of a request with respect to crashes of upstreams. */
enum class QuarantineStatus : std::uint8_t {
    /** The request may run like any other. */
    Clear,
    /** The request was running when an upstream crashed. It may run once more, alone. */
    Suspect,
    /** The request was running at as many crashes as the limit says. It is not run for a time that grows with them. */
    Quarantined,
};

class SuspectRegistry {
public:
    /** The number of crashes after which a request is quarantined. */
    static constexpr std::size_t defaultCrashLimit = 2;
    /** The time after its last notice for which a request stays recorded. */
    static constexpr Foundation::Duration lifetime = std::chrono::hours(6);

    /**
     * @param clock the time source; must outlive the registry.
     * @param crashLimit the number of crashes after which a request is quarantined.
     */
    explicit SuspectRegistry(const Foundation::Clock& clock, std::size_t crashLimit = defaultCrashLimit);

    /**
     * Records that a request was or may have been running at a crash.
     * @param age the time since the crash became known; more than 0 for notices that were stored.
     * @return whether the notice was new or more certain than before; repeated ones count once.
     */
    bool record(const CrashNotice& notice, Foundation::Duration age = {});

    /**
     * Returns the name of the crash that an attempt belongs to. A generation crashes again only if it was restarted and
     * its list entry is not known yet, which shows in an answer.
     * @param sentAt when the attempt was sent.
     * @return none if the upstream was down already when the attempt was sent.
     */
    std::optional<std::string> crashName(std::string_view generation, Foundation::TimePoint sentAt) const;

    /** Records that a generation answered, so that it was restarted if a crash of it is known. */
    void recordAnswer(std::string_view generation);

    /** Returns the generation that ended in a crash, given the crash's name. */
    static std::string_view generationOf(std::string_view crash);

    /**
     * Raises possible crashes of a generation to suspected ones, after another request found the upstream to be down.
     * @return the notices that were raised.
     */
    std::vector<CrashNotice> suspectGeneration(std::string_view generation);

    /**
     * Confirms the crashes whose generations have ended.
     * @param isListed returns whether a generation is still listed.
     * @param hasEnded returns whether a generation was listed and has ended.
     * @return the notices that were confirmed.
     */
    std::vector<CrashNotice> confirmEnded(
        const std::function<bool(std::string_view generation)>& isListed,
        const std::function<bool(std::string_view generation)>& hasEnded = [](std::string_view) { return false; });

    /**
     * Removes the possible crashes of a generation that has shown to be alive.
     * @return the notices that were removed.
     */
    std::vector<CrashNotice> withdrawGeneration(std::string_view generation);

    /** Removes a possible crash after its attempt turned out not to have run. @return whether there was one. */
    bool withdraw(const CrashNotice& notice);

    /** Clears a suspect after its request has completed. A quarantined request stays quarantined. */
    void clear(std::string_view fingerprint);

    /**
     * Removes all that is recorded against a request that has run to its end, since a request that crashes every
     * upstream never does. It is not quarantined for a short time, whatever is recorded then.
     * @return whether anything was recorded.
     */
    bool exonerate(std::string_view fingerprint);

    /** Returns the state of a request. */
    QuarantineStatus status(std::string_view fingerprint) const;

    /** Returns the number of crashes that count against a request. */
    std::size_t crashCount(std::string_view fingerprint) const;

    /** Returns the crash during which a suspect was running, or an empty string if the request is no suspect. */
    std::string suspectCrash(std::string_view fingerprint) const;

    /** Returns all stored notices, to be sent to processes that start. */
    std::vector<CrashNotice> notices() const;

    /** Returns the notices that count against a request. */
    std::vector<CrashNotice> countedNotices(std::string_view fingerprint) const;

    /**
     * Returns the notices that count against a request, and those that will count if their generations end. None if it
     * has run to its end recently.
     */
    std::vector<CrashNotice> openNotices(std::string_view fingerprint) const;

    /**
     * Records what another process knows of a request that has run to its end. Crashes that were recorded later stay.
     */
    void recordCompletion(const RequestCompletion& completion);

    /** Returns what is known of a request's runs to its end, for other processes; none if it has not run lately. */
    std::optional<RequestCompletion> completion(std::string_view fingerprint) const;

    /**
     * Returns the requests that have run to their end lately, for processes that start: those with crashes, and those
     * that do so again and again.
     * @param maximum the number of requests; those that complete most often come first.
     */
    std::vector<RequestCompletion> completions(std::size_t maximum) const;

    std::size_t size() const { return this->suspects.size(); }

private:
    struct Crash {
        CrashCertainty certainty = CrashCertainty::Possible;
        Foundation::TimePoint recordedAt {};
    };

    struct Suspect {
        /** By name of the crash. */
        std::map<std::string, Crash, std::less<>> crashes;
        Foundation::TimePoint lastNotice;
    };

    /** The newest crash of a generation. */
    struct GenerationCrash {
        int number = 0;
        Foundation::TimePoint recordedAt {};
        bool hasAnsweredSince = false;
    };

    struct Completion {
        Foundation::TimePoint at {};
        std::size_t count = 0;
    };

    void recordGenerationCrash(std::string_view crash);
    /** Returns whether a request has run to its end so recently that it is not quarantined. */
    bool hasCompletedRecently(std::string_view fingerprint) const;
    /** Returns whether many callers send a request that runs to its end, so that silence does not quarantine it. */
    bool completesRepeatedly(std::string_view fingerprint) const;
    static Foundation::Duration lifetimeOf(const Completion& completion);
    /** Returns the number of crashes for which a request may be quarantined. */
    std::size_t quarantiningCrashCount(const Suspect& suspect, std::string_view fingerprint) const;
    bool isValid(const Crash& crash) const;
    bool counts(const Crash& crash) const;
    std::size_t crashCount(const Suspect& suspect) const;
    /** Returns how long a request with so many crashes is not run. */
    Foundation::Duration quarantineTime(std::size_t crashes) const;
    /** Removes what has expired and, if the limit is still reached, the suspect with the fewest crashes. */
    void removeExpired();

    const Foundation::Clock& clock;
    std::size_t crashLimit;
    std::map<std::string, Suspect, std::less<>> suspects;
    std::map<std::string, GenerationCrash, std::less<>> generationCrashes;
    /** Requests that ran to their end lately, by fingerprint. */
    std::map<std::string, Completion, std::less<>> completionByFingerprint;
    Foundation::TimePoint nextExpiry {};
};

} // namespace Quarantine
