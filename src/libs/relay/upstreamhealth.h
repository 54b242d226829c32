#pragma once

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Relay {

/** The outcome of an attempt at an upstream, as evidence of the upstream's health. */
enum class Observation : std::uint8_t {
    Answered,
    /** The upstream answered with an error. */
    Failed,
    /** No connection could be established in time. */
    Unreachable,
    /** The connection broke. */
    Broken,
    /** The upstream sent nothing for too long; it may still go on. */
    Silent,
    /** The address refuses connections, or another upstream answers there. */
    Refused,
};

/**
 * Passive health checking with outlier ejection: judges upstreams by the outcome of requests, without probes. A failing
 * upstream is ejected for a time that grows with each consecutive failure, and then tried again.
 */
class UpstreamHealth {
public:
    /** Records the outcome of an attempt. @return whether this outcome ejects the upstream. */
    bool recordObservation(std::string_view upstreamGeneration, Observation observation, Foundation::TimePoint now);

    /** Records the expected and the measured delay of an answer, which determine the slowdown factor. */
    void recordDelay(std::string_view upstreamGeneration, Foundation::Duration expected, Foundation::Duration measured);

    /**
     * Records that an upstream refused to act as a prefill helper.
     * @return the time for which it is not asked again.
     */
    Foundation::Duration recordHelpRefusal(std::string_view upstreamGeneration, Foundation::TimePoint now);

    /**
     * Applies the report of another process about an upstream.
     * @param ejectionTime the remaining ejection time at the other process; applied up to an upper limit only.
     * @param isHelpRefusal whether the upstream only refuses to act as a prefill helper.
     */
    void applyPeerReport(std::string_view upstreamGeneration, Foundation::Duration ejectionTime, bool isHelpRefusal,
        Foundation::TimePoint now);

    /** @return whether the upstream can be asked to act as a prefill helper. */
    bool canHelp(std::string_view upstreamGeneration, Foundation::TimePoint now) const;

    /** @return the remaining ejection time of the upstream; 0 if it is not ejected. */
    Foundation::Duration ejectionTimeLeft(std::string_view upstreamGeneration, Foundation::TimePoint now) const;

    /** @return whether the upstream can be used, that is, is not ejected. */
    bool isUsable(std::string_view upstreamGeneration, Foundation::TimePoint now) const;

    /** Records that an upstream has turned a request away and wants no further one from this process for a time. */
    void recordPause(std::string_view upstreamGeneration, Foundation::Duration pause, Foundation::TimePoint now);

    /** @return how long the upstream wants no requests from this process; 0 if it accepts them. */
    Foundation::Duration pauseLeft(std::string_view upstreamGeneration, Foundation::TimePoint now) const;

    /** @return the ratio of measured to expected delay of the upstream, smoothed; at least 1. */
    double slowdownFactor(std::string_view upstreamGeneration) const;

    /** Records that an upstream that was silent has sent data, which ends its ejection. */
    void recordRecovery(std::string_view upstreamGeneration, Foundation::TimePoint now);

    /** Records that an answer of the upstream has received data. */
    void recordData(std::string_view upstreamGeneration, Foundation::TimePoint now);

    /** @return when any answer of the upstream last received data; none if none has. */
    std::optional<Foundation::TimePoint> lastDataAt(std::string_view upstreamGeneration) const;

    /** Records that the address of an upstream refused a connection at another process. */
    void recordPeerRefusal(std::string_view upstreamGeneration, Foundation::TimePoint now);

    /** @return whether the address of the upstream has refused a connection, here or elsewhere, since a time. */
    bool hasRefusedSince(std::string_view upstreamGeneration, Foundation::TimePoint time) const;

    /** Removes the record of an upstream generation that has ended. */
    void remove(std::string_view upstreamGeneration);

private:
    struct Record {
        int consecutiveFailures = 0;
        /** The failure rate as an exponentially weighted moving average. */
        double failureRate = 0;
        double slowdownFactor = 1;
        Foundation::TimePoint ejectedUntil {};
        Foundation::TimePoint helpRefusedUntil {};
        /** The end of the pause that the upstream has asked for. */
        Foundation::TimePoint pausedUntil {};
        /** When an answer last received data. */
        std::optional<Foundation::TimePoint> lastDataAt;
        /** When its address last refused a connection; none since it last answered. */
        std::optional<Foundation::TimePoint> refusedAt;
    };

    std::map<std::string, Record, std::less<>> records;
};

} // namespace Relay
