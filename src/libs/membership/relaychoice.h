#pragma once

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Membership {

/** A process that may pass on what the processes of its failure domain tell. */
struct RelayCandidate {
    std::string process;
    std::string failureDomain;
    /** The cores that its machine gives it. */
    double processorShare = 0;
};

/** @return whether work for others goes to one candidate rather than to another: to the larger machine. */
bool isPreferred(const RelayCandidate& candidate, const RelayCandidate& other);

/**
 * Chooses for each failure domain the process that passes on what others tell. All processes choose alike as long as
 * they reach the same ones; nothing depends on it, since a process that is told twice drops the older news. A chosen
 * process has to be heard all the time: one that is silent, though its connection may look open, is passed over.
 */
class RelayChoice {
public:
    explicit RelayChoice(RelayCandidate self);

    /** Notes a process that can be reached. */
    void add(const RelayCandidate& candidate);

    /** Notes that a process cannot be reached any more. */
    void remove(std::string_view process);

    /** Notes that a process passed something on. */
    void noteHeard(std::string_view process, Foundation::TimePoint now);

    /**
     * Chooses the relay of a failure domain.
     * @param failureDomain the failure domain.
     * @param now the time.
     * @return the process; the own name if this process is to do it; empty if nobody of the domain can be reached.
     */
    std::string relayOf(std::string_view failureDomain, Foundation::TimePoint now);

    /** @return the failure domains in which a process can be reached, this one's included, with their processes. */
    const std::map<std::string, std::map<std::string, RelayCandidate, std::less<>>, std::less<>>& domains() const
    {
        return this->candidates;
    }

private:
    /** What is known of the choice of one failure domain. */
    struct Chosen {
        std::string process;
        Foundation::TimePoint since {};
        Foundation::TimePoint lastAsked {};
    };

    bool isSilent(const RelayCandidate& candidate, Foundation::TimePoint now);

    RelayCandidate self;
    std::map<std::string, std::map<std::string, RelayCandidate, std::less<>>, std::less<>> candidates;
    std::map<std::string, Chosen, std::less<>> chosen;
    std::map<std::string, Foundation::TimePoint, std::less<>> lastHeard;
    std::map<std::string, Foundation::TimePoint, std::less<>> passedOverUntil;
};

} // namespace Membership
