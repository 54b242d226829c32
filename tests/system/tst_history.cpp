#include "history.h"

#include <CppUTest/TestHarness.h>

using namespace Proof;

namespace {

HistoryCall servedCall(const std::string& id)
{
    HistoryCall call;
    call.id = id;
    call.timeoutMs = 1'000;
    call.totalMs = 20;
    call.status = 200;
    call.isServed = true;
    return call;
}

HistoryCall refusedCall(const std::string& id)
{
    HistoryCall call = servedCall(id);
    call.isServed = false;
    call.status = 503;
    call.errorCode = 2004;
    call.outcome = "not-run";
    call.retryAfterMs = 100;
    return call;
}

} // namespace

// Each check must report a history that violates its promise, and accept one that does not.
TEST_GROUP(History)
{
    History history;

    void setup() override
    {
        this->history.calls = { servedCall("a"), refusedCall("b") };
        this->history.executions = { { "a", "key-a" } };
        this->history.engines = { { "x", 0, 0, 0, 0 } };
        this->history.versions = { { "e", 0, 1 }, { "e", 1, 2 }, { "f", 2, 1 } };
    }
};

TEST(History, acceptsAHistoryWithoutViolations)
{
    CHECK_TRUE(checkCallDeadlines(this->history, 100).empty());
    CHECK_TRUE(checkRefusalsHaveRetryTime(this->history).empty());
    CHECK_TRUE(checkAnswersAreCorrect(this->history).empty());
    CHECK_TRUE(checkNotRunOutcomes(this->history).empty());
    CHECK_TRUE(checkAtMostOnce(this->history).empty());
    CHECK_TRUE(checkFinalEngineStates(this->history).empty());
    CHECK_TRUE(checkVersionsNeverDecrease(this->history).empty());
    CHECK_TRUE(checkCrashCount(this->history, 0).empty());
}

TEST(History, reportsACallThatEndsAfterItsDeadline)
{
    this->history.calls[0].totalMs = 1'101;
    LONGS_EQUAL(1, checkCallDeadlines(this->history, 100).size());
    this->history.calls[0].isAbandoned = true;
    CHECK_TRUE(checkCallDeadlines(this->history, 100).empty());
}

TEST(History, reportsARefusalWithoutARetryTime)
{
    this->history.calls[1].retryAfterMs = 0;
    LONGS_EQUAL(1, checkRefusalsHaveRetryTime(this->history).size());
    this->history.calls[1].errorCode = 2016;
    CHECK_TRUE(checkRefusalsHaveRetryTime(this->history).empty());
}

TEST(History, reportsAWrongAnswer)
{
    this->history.calls[0].isWrong = true;
    LONGS_EQUAL(1, checkAnswersAreCorrect(this->history).size());
}

TEST(History, reportsAnExecutedCallThatEndedAsNotRun)
{
    this->history.executions.push_back({ "b", "" });
    LONGS_EQUAL(1, checkNotRunOutcomes(this->history).size());
}

TEST(History, reportsASecondExecutionForAKey)
{
    this->history.executions.push_back({ "c", "key-a" });
    LONGS_EQUAL(1, checkAtMostOnce(this->history).size());
}

TEST(History, reportsUnreleasedMemoryOverloadRestartsAndMemoryOverruns)
{
    this->history.engines = { { "x", 5, 0, 0, 0 }, { "y", 0, 1, 0, 0 }, { "z", 0, 0, 1, 0 } };
    LONGS_EQUAL(3, checkFinalEngineStates(this->history).size());
}

TEST(History, reportsAVersionThatDecreases)
{
    this->history.versions.push_back({ "e", 3, 1 });
    LONGS_EQUAL(1, checkVersionsNeverDecrease(this->history).size());
}

TEST(History, reportsMoreCrashesThanAllowed)
{
    this->history.engines = { { "x", 0, 0, 0, 2 }, { "y", 0, 0, 0, 1 } };
    LONGS_EQUAL(1, checkCrashCount(this->history, 2).size());
    CHECK_TRUE(checkCrashCount(this->history, 3).empty());
}
