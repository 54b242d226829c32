#pragma once

#include <timedanswer.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Proof {

/** What changes in the configuration of the gateways while upstreams fall silent. */
enum class ConfigurationChange : std::uint8_t {
    None,
    /** The operator's document: timeouts, routes, client accounts or weights. */
    Document,
    /** Many documents within a second, now and then. */
    DocumentBurst,
    /** The settings files, with a SIGHUP, without one, or a SIGHUP alone. */
    Settings,
    DocumentAndSettings,
};

/** Sound upstreams that fall silent for about a second and go on, beside changes of the configuration. */
struct SilenceScenario {
    ConfigurationChange change = ConfigurationChange::None;
    /** Where a request has come to at an upstream that falls silent; any moment if none. */
    std::optional<AnswerMoment> moment;
    /** Whether there are twice as many requests, mostly streams, and all upstreams fall silent together. */
    bool isBusy = false;

    /** Returns a name of the form document-inside-event or document-anywhere-busy. */
    std::string name() const;
};

/** What callers saw in a run of a scenario. */
struct SilenceScenarioResult {
    std::size_t requests = 0;
    std::size_t completeAnswers = 0;
    /** Refusals that state that the request has not run. */
    std::size_t refusals = 0;
    /** Requests whose caller left after a gap in its stream. */
    std::size_t abandoned = 0;
    std::size_t cutAnswers = 0;
    /** Answers with 502 or 504. */
    std::size_t failedAnswers = 0;
    std::size_t pauses = 0;
    /** Runs of requests that had begun to run before. */
    std::size_t repeatedRuns = 0;
    /** Lines of the gateways' logs that name a request as a suspect of a crash. */
    std::size_t suspects = 0;
    /** Lines of the gateways' logs that say that their timers were late. */
    std::size_t lateTimers = 0;
    std::vector<std::string> violations;
    std::filesystem::path logFolder;
};

/** Returns all combinations. */
std::vector<SilenceScenario> allSilenceScenarios();

/** Runs a scenario with real processes and checks that every request is answered or truthfully refused in time. */
SilenceScenarioResult runSilenceScenario(
    const SilenceScenario& scenario, const std::filesystem::path& programs, std::uint64_t seed);

} // namespace Proof
