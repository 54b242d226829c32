#pragma once

#include <foundation/clock.h>

#include <map>
#include <string>
#include <string_view>

namespace Relay {

/** How an attempt at an upstream ended, as far as that tells of the upstream's health. */
enum class Observation : std::uint8_t {
    Answered,
    /** It answered with an error of its own. */
    Failed,
    /** No connection could be made. */
    Unreachable,
    /** The connection broke, or nothing came for too long. */
    Broken,
};

/**
 * Judges upstreams by what requests met there, without probes. An upstream that fails is left out for a while that
 * grows with each further failure, and then tried again.
 */
class UpstreamHealth {
public:
    /** Notes the end of an attempt. @return whether the upstream is left out from now on. */
    bool note(std::string_view upstreamRun, Observation observation, Foundation::TimePoint now);

    /** Notes how long an answer took beside what was expected. */
    void noteDelay(std::string_view upstreamRun, Foundation::Duration expected, Foundation::Duration seen);

    /** Notes that an upstream refused to read for another one. @return how long it is not asked again. */
    Foundation::Duration noteCannotHelp(std::string_view upstreamRun, Foundation::TimePoint now);

    /**
     * Takes in what another process met at an upstream.
     * @param pause how long the other process leaves it out; only a part of that is believed.
     * @param isHelpOnly whether the upstream only refuses to read for others.
     */
    void noteHearsay(
        std::string_view upstreamRun, Foundation::Duration pause, bool isHelpOnly, Foundation::TimePoint now);

    /** @return whether the upstream may be asked to read for others. */
    bool mayHelp(std::string_view upstreamRun, Foundation::TimePoint now) const;

    /** @return how much longer the upstream is left out; 0 if it is not. */
    Foundation::Duration pauseLeft(std::string_view upstreamRun, Foundation::TimePoint now) const;

    /** @return whether the upstream may be used. */
    bool isUsable(std::string_view upstreamRun, Foundation::TimePoint now) const;

    /** @return how many times longer than expected the upstream takes; at least 1. */
    double slowness(std::string_view upstreamRun) const;

    /** Forgets an upstream that is gone. */
    void forget(std::string_view upstreamRun);

private:
    struct Record {
        int failuresInARow = 0;
        /** The share of failed attempts, newer ones weigh more. */
        double failureShare = 0;
        double slowness = 1;
        Foundation::TimePoint leftOutUntil {};
        Foundation::TimePoint cannotHelpUntil {};
    };

    std::map<std::string, Record, std::less<>> records;
};

} // namespace Relay
