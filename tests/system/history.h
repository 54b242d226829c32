#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Proof {

/** A call as its caller observed it. */
struct HistoryCall {
    std::string id;
    /** The idempotency key; empty for a repeatable call. */
    std::string key;
    double totalMs = 0;
    std::int64_t timeoutMs = 0;
    int status = 0;
    int errorCode = 0;
    std::string outcome;
    /** The time after which the caller may retry, as named by an error; 0 if the error names none. */
    std::int64_t retryAfterMs = 0;
    /** Whether the caller got a complete answer that is not an error. */
    bool isServed = false;
    /** Whether the answer looked complete but is not the expected one for the request. */
    bool isWrong = false;
    /** Whether the caller closed the connection before the answer was complete. */
    bool isAbandoned = false;
};

/** An execution of a request as an upstream recorded it. */
struct UpstreamExecution {
    std::string request;
    /** The idempotency key; empty if the upstream does not report it. */
    std::string key;
};

/** The state that an engine reports after all calls have ended. */
struct FinalEngineState {
    std::string instance;
    /** The memory that is still in use. */
    std::int64_t usedTokens = 0;
    /** How often the engine restarted because it was overloaded. */
    std::int64_t overloadRestarts = 0;
    /** How often the engine was sent a request that did not fit into its memory. */
    std::int64_t memoryOverruns = 0;
    /** How often a request crashed the engine. */
    std::int64_t crashes = 0;
};

/** The configuration version that a process had in force at one time. */
struct VersionSample {
    std::string process;
    /** The time since the fixture was created. */
    double atMs = 0;
    std::uint64_t version = 0;
};

/**
 * Everything that was recorded during one run of a scenario. The checks compare it with the promises and use no other
 * input.
 */
struct History {
    std::vector<HistoryCall> calls;
    std::vector<UpstreamExecution> executions;
    std::vector<FinalEngineState> engines;
    std::vector<VersionSample> versions;
};

/** Descriptions of the violations that a check found; empty if there are none. */
using Violations = std::vector<std::string>;

/**
 * Checks that every call ended by its deadline, except calls that the caller abandoned.
 * @param toleranceMs the allowed excess, which covers the way of the answer back to the caller.
 */
Violations checkCallDeadlines(const History& history, double toleranceMs);

/** Checks that every refusal of a call that was not executed names a retry time, unless retrying cannot succeed. */
Violations checkRefusalsHaveRetryTime(const History& history);

/** Checks that every answer that looked complete was the expected one. */
Violations checkAnswersAreCorrect(const History& history);

/** Checks that no upstream executed a call that ended with the outcome "not-run". */
Violations checkNotRunOutcomes(const History& history);

/** Checks that the upstreams executed no more than one request for each idempotency key. */
Violations checkAtMostOnce(const History& history);

/** Checks that no engine restarted under overload, was sent more than fits its memory or ends with memory in use. */
Violations checkFinalEngineStates(const History& history);

/** Checks that no process went back to an older configuration version. */
Violations checkVersionsNeverDecrease(const History& history);

/** Checks that requests crashed the engines no more often than a maximum, over all engines. */
Violations checkCrashCount(const History& history, std::int64_t maximumCrashes);

} // namespace Proof
