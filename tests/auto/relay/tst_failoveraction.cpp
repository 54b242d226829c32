#include <relay/failoveraction.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Relay;
using Foundation::RunOutcome;
using namespace std::chrono_literals;

namespace {

RequestProgress makeProgress(RunOutcome outcome, bool isRepeatable, bool hasDelivered, int runs, int maximumRuns)
{
    RequestProgress progress;
    progress.outcome = outcome;
    progress.isRepeatable = isRepeatable;
    progress.hasDelivered = hasDelivered;
    progress.canResume = hasDelivered;
    progress.runs = runs;
    progress.maximumRuns = maximumRuns;
    progress.timeLeft = 1s;
    return progress;
}

} // namespace

TEST_GROUP(FailoverActionTest) {};

TEST(FailoverActionTest, aNonRepeatableRequestThatMayHaveRunFails)
{
    CHECK_TRUE(rc::check([] {
        auto progress = makeProgress(*rc::gen::element(RunOutcome::MayHaveRun, RunOutcome::Ran), false,
            *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 3), *rc::gen::inRange(1, 5));
        RC_ASSERT(chooseFailoverAction(progress) == FailoverAction::Fail);
    }));
}

TEST(FailoverActionTest, aRequestThatReachedTheMaximumRunsFails)
{
    CHECK_TRUE(rc::check([] {
        const int maximumRuns = *rc::gen::inRange(1, 4);
        auto progress
            = makeProgress(RunOutcome::MayHaveRun, true, *rc::gen::arbitrary<bool>(), maximumRuns, maximumRuns);
        RC_ASSERT(chooseFailoverAction(progress) == FailoverAction::Fail);
    }));
}

TEST(FailoverActionTest, aRejectedRequestIsSentToAnotherUpstream)
{
    CHECK_TRUE(chooseFailoverAction(makeProgress(RunOutcome::NotRun, false, false, 0, 1)) == FailoverAction::Reroute);
}

TEST(FailoverActionTest, aBrokenStreamIsResumedAndNotRestarted)
{
    CHECK_TRUE(chooseFailoverAction(makeProgress(RunOutcome::MayHaveRun, true, true, 1, 2)) == FailoverAction::Resume);
    auto progress = makeProgress(RunOutcome::MayHaveRun, true, true, 1, 2);
    progress.canResume = false;
    CHECK_TRUE(chooseFailoverAction(progress) == FailoverAction::Fail);
}

TEST(FailoverActionTest, aRequestWithoutTimeLeftFails)
{
    auto progress = makeProgress(RunOutcome::NotRun, true, false, 0, 3);
    progress.timeLeft = 1ms;
    CHECK_TRUE(chooseFailoverAction(progress) == FailoverAction::Fail);
}
