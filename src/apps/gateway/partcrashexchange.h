#pragma once

#include "partcrashstore.h"

#include <foundation/clock.h>
#include <quarantine/promptpartregistry.h>
#include <wire/messages.h>

#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace Gateway {

/**
 * Keeps the registry of prompt parts that crash upstreams alike in all gateways: records what this process observes,
 * tells it to the others, merges what they tell, and logs what is decided.
 */
class PartCrashExchange {
public:
    /**
     * @param clock the time source.
     * @param registry decides which parts crash upstreams.
     * @param store keeps the crashes that this process observes. All three must outlive this object.
     * @param broadcast sends a notice to all other gateways.
     */
    PartCrashExchange(const Foundation::Clock& clock, Quarantine::PromptPartRegistry& registry, PartCrashStore& store,
        std::function<void(const Wire::SuspectNotice&)> broadcast);

    /** Records an attempt of this process that may have been lost at a crash. */
    void onAttemptLost(const Quarantine::PartCrash& crash);

    /** Records that a request of this process ran to its end. */
    void onCompleted(std::span<const Quarantine::PromptPart> parts);

    /** Counts possible crashes of an upstream that this process found to be down. */
    void onUpstreamDown(std::string_view generation);

    /** Counts possible crashes of an upstream that another process found to be down. */
    void onUpstreamReported(std::string_view generation);

    /** Withdraws the possible crashes of an upstream that was silent and has gone on. */
    void onSilenceEnded(const std::string& generation);

    /** Merges what another gateway tells. */
    void onNotice(const Wire::SuspectNotice& notice);

    /** Adds all that is known to the notice for a gateway that has just connected. */
    void addKnown(Wire::SuspectNotice& snapshot) const;

    /** Confirms the crashes whose generations have ended. @param hasCrashed like PromptPartRegistry::confirmEnded(). */
    void confirmEnded(const std::function<bool(std::string_view generation)>& hasCrashed);

    /** Sends what waits to be sent and logs changed decisions; called at each tick of the process. */
    void tick();

private:
    void broadcastCrashes(const std::vector<Quarantine::PartCrash>& crashes);
    void flushPossibleCrashes();
    std::size_t unsentPartCount() const;
    void logDecisions();
    void logCandidates();

    const Foundation::Clock& clock;
    Quarantine::PromptPartRegistry& registry;
    PartCrashStore& store;
    std::function<void(const Wire::SuspectNotice&)> broadcast;
    std::vector<Quarantine::PartCrash> unsentPossibleCrashes;
    Foundation::TimePoint nextFlush {};
    /** The causes whose requests were refused when the decisions were last logged. */
    std::vector<std::vector<Quarantine::PromptPart>> loggedCauses;
    bool hasNewCrash = false;
    Foundation::TimePoint nextCandidateLog {};
};

/** Returns prompt parts as in log lines: hexadecimal, separated by commas; of many the first ones and "+NUMBER". */
std::string promptPartsText(std::span<const Quarantine::PromptPart> parts);

} // namespace Gateway
