#include <relay/nextmove.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Relay;
using Foundation::RunOutcome;
using namespace std::chrono_literals;

namespace {

RequestProgress progressOf(RunOutcome outcome, bool isRepeatable, bool hasDelivered, int runs, int maximumRuns)
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

TEST(NextMoveTest, whatMayHaveRunAndIsNotRepeatableNeverRunsAgain)
{
    CHECK_TRUE(rc::check([] {
        auto progress = progressOf(*rc::gen::element(RunOutcome::MayHaveRun, RunOutcome::Ran), false,
            *rc::gen::arbitrary<bool>(), *rc::gen::inRange(1, 3), *rc::gen::inRange(1, 5));
        RC_ASSERT(nextMove(progress) == NextMove::Fail);
    }));
}

TEST(NextMoveTest, neverMoreRunsThanTheRouteAllows)
{
    CHECK_TRUE(rc::check([] {
        const int maximumRuns = *rc::gen::inRange(1, 4);
        auto progress = progressOf(RunOutcome::MayHaveRun, true, *rc::gen::arbitrary<bool>(), maximumRuns, maximumRuns);
        RC_ASSERT(nextMove(progress) == NextMove::Fail);
    }));
}

TEST(NextMoveTest, aRejectedRequestIsSentElsewhere)
{
    CHECK_TRUE(nextMove(progressOf(RunOutcome::NotRun, false, false, 0, 1)) == NextMove::SendElsewhere);
}

TEST(NextMoveTest, aBrokenStreamIsResumedAndNotBegunAnew)
{
    CHECK_TRUE(nextMove(progressOf(RunOutcome::MayHaveRun, true, true, 1, 2)) == NextMove::Resume);
    auto progress = progressOf(RunOutcome::MayHaveRun, true, true, 1, 2);
    progress.canResume = false;
    CHECK_TRUE(nextMove(progress) == NextMove::Fail);
}

TEST(NextMoveTest, nothingIsSentWithoutTime)
{
    auto progress = progressOf(RunOutcome::NotRun, true, false, 0, 3);
    progress.timeLeft = 1ms;
    CHECK_TRUE(nextMove(progress) == NextMove::Fail);
}
