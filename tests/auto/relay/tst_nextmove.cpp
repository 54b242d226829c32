#include <relay/nextmove.h>

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

TEST_GROUP(NextMoveTest) {};

TEST(NextMoveTest, aNonRepeatableRequestThatMayHaveRunFails)
{
    CHECK_TRUE(rc::check([] {
        auto progress = makeProgress(*rc::gen::element(RunOutcome::MayHaveRun, RunOutcome::Ran), false,
            *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 3), *rc::gen::inRange(1, 5));
        RC_ASSERT(nextMove(progress) == NextMove::Fail);
    }));
}

TEST(NextMoveTest, aRequestThatReachedTheMaximumRunsFails)
{
    CHECK_TRUE(rc::check([] {
        const int maximumRuns = *rc::gen::inRange(1, 4);
        auto progress
            = makeProgress(RunOutcome::MayHaveRun, true, *rc::gen::arbitrary<bool>(), maximumRuns, maximumRuns);
        RC_ASSERT(nextMove(progress) == NextMove::Fail);
    }));
}

TEST(NextMoveTest, aRejectedRequestIsSentToAnotherUpstream)
{
    CHECK_TRUE(nextMove(makeProgress(RunOutcome::NotRun, false, false, 0, 1)) == NextMove::SendElsewhere);
}

TEST(NextMoveTest, aBrokenStreamIsResumedAndNotRestarted)
{
    CHECK_TRUE(nextMove(makeProgress(RunOutcome::MayHaveRun, true, true, 1, 2)) == NextMove::Resume);
    auto progress = makeProgress(RunOutcome::MayHaveRun, true, true, 1, 2);
    progress.canResume = false;
    CHECK_TRUE(nextMove(progress) == NextMove::Fail);
}

TEST(NextMoveTest, aRequestWithoutTimeLeftFails)
{
    auto progress = makeProgress(RunOutcome::NotRun, true, false, 0, 3);
    progress.timeLeft = 1ms;
    CHECK_TRUE(nextMove(progress) == NextMove::Fail);
}
