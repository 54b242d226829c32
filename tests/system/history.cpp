#include "history.h"

#include <foundation/resultcode.h>

#include <algorithm>
#include <set>

namespace Proof {

namespace {

constexpr int firstRefusalCode = 2000;
constexpr int firstFailureCode = 3000;

// A quarantined request is never executed again.
bool isRetryUseless(int code) { return code == static_cast<int>(Foundation::ResultCode::Quarantined); }

} // namespace

Violations checkCallDeadlines(const History& history, double toleranceMs)
{
    Violations violations;
    for (const HistoryCall& call : history.calls) {
        if (!call.isAbandoned && call.totalMs > static_cast<double>(call.timeoutMs) + toleranceMs)
            violations.push_back(call.id + " took " + std::to_string(call.totalMs) + " ms");
    }
    return violations;
}

Violations checkRefusalsHaveRetryTime(const History& history)
{
    Violations violations;
    for (const HistoryCall& call : history.calls) {
        const bool isRefusal = call.errorCode >= firstRefusalCode && call.errorCode < firstFailureCode;
        if (!isRefusal || call.isAbandoned || isRetryUseless(call.errorCode))
            continue;
        if (call.retryAfterMs <= 0)
            violations.push_back(
                call.id + " was refused with code " + std::to_string(call.errorCode) + " but without a retry time");
    }
    return violations;
}

Violations checkAnswersAreCorrect(const History& history)
{
    Violations violations;
    for (const HistoryCall& call : history.calls) {
        if (call.isWrong)
            violations.push_back(call.id + " got an answer that looks complete but is not the expected one");
    }
    return violations;
}

Violations checkNotRunOutcomes(const History& history)
{
    std::set<std::string> executed;
    for (const UpstreamExecution& execution : history.executions)
        executed.insert(execution.request);
    Violations violations;
    for (const HistoryCall& call : history.calls) {
        if (call.outcome == "not-run" && executed.contains(call.id))
            violations.push_back(
                call.id + " ended as not run with code " + std::to_string(call.errorCode) + " but was executed");
    }
    return violations;
}

Violations checkAtMostOnce(const History& history)
{
    std::map<std::string, int> executionCounts;
    for (const UpstreamExecution& execution : history.executions) {
        if (!execution.key.empty())
            ++executionCounts[execution.key];
    }
    Violations violations;
    for (const auto& [key, count] : executionCounts) {
        if (count > 1)
            violations.push_back("key " + key + " was executed " + std::to_string(count) + " times");
    }
    return violations;
}

Violations checkFinalEngineStates(const History& history)
{
    Violations violations;
    for (const FinalEngineState& engine : history.engines) {
        if (engine.usedTokens != 0)
            violations.push_back(engine.instance + " still has " + std::to_string(engine.usedTokens)
                + " tokens of memory in use at the end");
        if (engine.overloadRestarts != 0)
            violations.push_back(
                engine.instance + " restarted under overload " + std::to_string(engine.overloadRestarts) + " times");
        if (engine.memoryOverruns != 0)
            violations.push_back(engine.instance + " was sent requests that did not fit into its memory");
    }
    return violations;
}

Violations checkVersionsNeverDecrease(const History& history)
{
    std::map<std::string, std::uint64_t> highestVersions;
    Violations violations;
    for (const VersionSample& sample : history.versions) {
        std::uint64_t& highest = highestVersions[sample.process];
        if (sample.version < highest)
            violations.push_back(
                sample.process + " went back to configuration version " + std::to_string(sample.version));
        highest = std::max(highest, sample.version);
    }
    return violations;
}

Violations checkCrashCount(const History& history, std::int64_t maximumCrashes)
{
    std::int64_t crashes = 0;
    for (const FinalEngineState& engine : history.engines)
        crashes += engine.crashes;
    if (crashes <= maximumCrashes)
        return {};
    return { std::to_string(crashes) + " engine crashes" };
}

} // namespace Proof
