#include <routing/retrybudget.h>
#include <routing/retrypolicy.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Routing;
using Configuration::Repeatability;
using Foundation::ResultCode;
using Foundation::RunOutcome;

namespace {

AttemptEnd makeEnd(RunOutcome outcome, Repeatability repeatability)
{
    return { outcome, ResultCode::ConnectionLost, repeatability, 0, 1, std::chrono::seconds(10) };
}

} // namespace

TEST_GROUP(Retry) {};

TEST(Retry, neverRetriesANonRepeatableRequestThatMayHaveRun)
{
    CHECK_TRUE(rc::check("for every code, a call that may have run is not sent to another upstream", [] {
        AttemptEnd end = makeEnd(RunOutcome::MayHaveRun, Repeatability::NonRepeatable);
        const auto codes = Foundation::resultCodes();
        end.code = codes[*rc::gen::inRange<std::size_t>(0, codes.size())].code;
        end.attempts = *rc::gen::inRange(1, 5);
        RC_ASSERT(decideRetry(end) == RetryDecision::Fail);
    }));
}

TEST(Retry, reroutesRequestsThatDidNotRun)
{
    CHECK_TRUE(decideRetry(makeEnd(RunOutcome::NotRun, Repeatability::NonRepeatable)) == RetryDecision::Reroute);
    CHECK_TRUE(decideRetry(makeEnd(RunOutcome::NotRun, Repeatability::Repeatable)) == RetryDecision::Reroute);
    CHECK_TRUE(decideRetry(makeEnd(RunOutcome::MayHaveRun, Repeatability::Repeatable)) == RetryDecision::Retry);
}

TEST(Retry, failsAtTheDeadlineOrMaximumAttemptsOrAfterTheFirstByte)
{
    AttemptEnd end = makeEnd(RunOutcome::NotRun, Repeatability::Repeatable);
    end.remaining = std::chrono::milliseconds(1);
    CHECK_TRUE(decideRetry(end) == RetryDecision::Fail);
    end = makeEnd(RunOutcome::NotRun, Repeatability::Repeatable);
    end.bytesDelivered = 1;
    CHECK_TRUE(decideRetry(end) == RetryDecision::Fail);
    end = makeEnd(RunOutcome::NotRun, Repeatability::Repeatable);
    end.attempts = 4;
    CHECK_TRUE(decideRetry(end) == RetryDecision::Fail);
    end = makeEnd(RunOutcome::NotRun, Repeatability::Repeatable);
    end.code = ResultCode::Quarantined;
    CHECK_TRUE(decideRetry(end) == RetryDecision::Fail);
}

TEST(Retry, budgetLimitsRetriesToAFractionOfTheRequests)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.deposit("a", 0.1);
        retries += budget.tryWithdraw("a") ? 1 : 0;
    }
    CHECK_TRUE(retries <= 1'010);
    CHECK_TRUE(retries >= 990);
    CHECK_FALSE(budget.tryWithdraw("unknown"));
}
