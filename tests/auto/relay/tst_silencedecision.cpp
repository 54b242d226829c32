#include <relay/silencedecision.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <optional>

using namespace Relay;
using namespace std::chrono_literals;

namespace {

constexpr auto yes = [] { return true; };
constexpr auto no = [] { return false; };

SilentAttempt makeAttempt(Foundation::Duration silence, bool isUpstreamDoubtful, FailoverAction failover)
{
    SilentAttempt attempt;
    attempt.silence = silence;
    attempt.expectedSilence = 500ms;
    attempt.inactivityTimeout = 1'000ms;
    attempt.isUpstreamDoubtful = isUpstreamDoubtful;
    attempt.failover = failover;
    return attempt;
}

// An attempt in a long prefill, for which other upstreams reserve memory.
SilentAttempt makeLongPrefill(Foundation::Duration silence, std::optional<Foundation::Duration> doubt)
{
    SilentAttempt attempt = makeAttempt(silence, doubt.has_value(), FailoverAction::Fail);
    attempt.expectedSilence = 8s;
    attempt.inactivityTimeout = 16s;
    attempt.doubt = doubt.value_or(0s);
    attempt.holdsMemoryElsewhere = true;
    return attempt;
}

SilentAttempt makePaused(Foundation::Duration silence, std::optional<Foundation::Duration> doubt)
{
    SilentAttempt attempt = makeLongPrefill(silence, doubt);
    attempt.expectedSilence = 500ms;
    attempt.inactivityTimeout = 1s;
    attempt.isPaused = true;
    return attempt;
}

} // namespace

TEST_GROUP(SilenceDecisionTest) {};

// Sound upstreams may fall silent for a second or so and go on.
TEST(SilenceDecisionTest, silenceAloneEndsNoAttemptThatCannotGoOnElsewhere)
{
    CHECK_TRUE(rc::check([] {
        const auto silence = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
        const auto failover = *rc::gen::element(FailoverAction::Fail, FailoverAction::Resume, FailoverAction::Retry);
        const bool hasRoom = *rc::gen::arbitrary<bool>();
        const bool hasBudget = *rc::gen::arbitrary<bool>();
        const auto decision = decideOnSilence(
            makeAttempt(silence, false, failover), [=] { return hasRoom; }, [=] { return hasBudget; });
        RC_ASSERT(decision.action != SilenceAction::End);
    }));
}

TEST(SilenceDecisionTest, dataOnOtherConnectionsPutsTheSuspicionOfACrashOff)
{
    const Foundation::TimePoint lastDataAt { 100s };
    CHECK_TRUE(crashSuspectedFrom(lastDataAt, 3s, std::nullopt) == lastDataAt + 3s);
    CHECK_TRUE(crashSuspectedFrom(lastDataAt, 3s, lastDataAt + 500ms) == lastDataAt + 3s);
    CHECK_TRUE(crashSuspectedFrom(lastDataAt, 3s, lastDataAt + 2s) == lastDataAt + 2s + longestSoundSilence);
}

TEST(SilenceDecisionTest, aSilentAttemptThatMustNotRunAgainIsKept)
{
    CHECK_TRUE(decideOnSilence(makeAttempt(5s, false, FailoverAction::Fail), yes, yes)
        == (SilenceDecision { SilenceAction::Keep, KeepReason::MustNotRunAgain }));
}

TEST(SilenceDecisionTest, aSilentStreamWithoutRoomElsewhereIsKept)
{
    CHECK_TRUE(decideOnSilence(makeAttempt(5s, false, FailoverAction::Resume), no, yes)
        == (SilenceDecision { SilenceAction::Keep, KeepReason::NoRoomElsewhere }));
}

TEST(SilenceDecisionTest, aSilentCallThatNoOtherUpstreamCanTakeSpendsNoRetry)
{
    int spentRetries = 0;
    const auto spend = [&spentRetries] { return ++spentRetries > 0; };
    SilentAttempt attempt = makeAttempt(5s, false, FailoverAction::Retry);
    attempt.canQueue = false;
    CHECK_TRUE(
        decideOnSilence(attempt, no, spend) == (SilenceDecision { SilenceAction::Keep, KeepReason::NoRoomElsewhere }));
    LONGS_EQUAL(0, spentRetries);
    CHECK_TRUE(decideOnSilence(attempt, yes, spend).action == SilenceAction::FailOver);
    LONGS_EQUAL(1, spentRetries);
    attempt.isUpstreamDoubtful = true;
    CHECK_TRUE(decideOnSilence(attempt, no, spend).action == SilenceAction::End);
}

TEST(SilenceDecisionTest, aSilentPromptWithoutRoomElsewhereWaitsInTheQueue)
{
    CHECK_TRUE(
        decideOnSilence(makeAttempt(5s, false, FailoverAction::Retry), no, yes).action == SilenceAction::FailOver);
}

TEST(SilenceDecisionTest, aSilentAttemptWithoutRetryBudgetIsKept)
{
    CHECK_TRUE(decideOnSilence(makeAttempt(5s, false, FailoverAction::Retry), yes, no)
        == (SilenceDecision { SilenceAction::Keep, KeepReason::RetryBudgetSpent }));
}

TEST(SilenceDecisionTest, anAttemptWhoseUpstreamHasEndedIsNotKeptUntilItsCallerLeaves)
{
    for (const auto failover : { FailoverAction::Fail, FailoverAction::Retry, FailoverAction::Resume })
        CHECK_TRUE(decideOnSilence(makeAttempt(2s, true, failover), no, no).action == SilenceAction::End);
}

// An upstream may leave the list and still finish its work.
TEST(SilenceDecisionTest, anUnlistedUpstreamMayStillGoOnAfterAShortSilence)
{
    CHECK_TRUE(
        decideOnSilence(makeAttempt(1'900ms, true, FailoverAction::Fail), yes, yes).action == SilenceAction::Keep);
    CHECK_TRUE(
        decideOnSilence(makeAttempt(600ms, true, FailoverAction::Retry), yes, yes).action == SilenceAction::FailOver);
    CHECK_TRUE(
        decideOnSilence(makeAttempt(600ms, false, FailoverAction::Retry), yes, yes).action == SilenceAction::Wait);
}

TEST(SilenceDecisionTest, memoryElsewhereIsNotKeptForALongPrefillWhoseUpstreamHasEnded)
{
    CHECK_TRUE(decideOnSilence(makeLongPrefill(5s, 2s), yes, yes).action == SilenceAction::End);
    SilentAttempt repeatable = makeLongPrefill(5s, 2s);
    repeatable.failover = FailoverAction::Retry;
    CHECK_TRUE(decideOnSilence(repeatable, yes, yes).action == SilenceAction::FailOver);
    CHECK_TRUE(decideOnSilence(repeatable, yes, no).action == SilenceAction::End);
}

TEST(SilenceDecisionTest, aLongPrefillGoesOnWhileItsUpstreamMayBeSound)
{
    CHECK_TRUE(decideOnSilence(makeLongPrefill(7s, std::nullopt), yes, yes).action == SilenceAction::Wait);
    // It has left the list, but has proved since that it runs.
    CHECK_TRUE(decideOnSilence(makeLongPrefill(7s, 1'900ms), yes, yes).action == SilenceAction::Wait);
    CHECK_TRUE(decideOnSilence(makeLongPrefill(1'900ms, 3s), yes, yes).action == SilenceAction::Wait);
    SilentAttempt withoutMemory = makeLongPrefill(7s, 3s);
    withoutMemory.holdsMemoryElsewhere = false;
    CHECK_TRUE(decideOnSilence(withoutMemory, yes, yes).action == SilenceAction::Wait);
}

TEST(SilenceDecisionTest, memoryElsewhereIsNotKeptForAPausedStreamWhoseUpstreamHasEnded)
{
    CHECK_TRUE(decideOnSilence(makePaused(5s, 2s), yes, yes).action == SilenceAction::Release);
}

// What its upstream has sent before is still delivered to its caller.
// The upstream goes on, but the answer of the run was lost, and it must not run again.
TEST(SilenceDecisionTest, memoryElsewhereIsNotKeptForAnAnswerThatIsLost)
{
    SilentAttempt attempt = makeLongPrefill(5s, std::nullopt);
    attempt.memorySilence = 5s + 1ms;
    CHECK_TRUE(decideOnSilence(attempt, yes, yes).action != SilenceAction::End);
    attempt.memorySilence = 5s;
    CHECK_TRUE(decideOnSilence(attempt, yes, yes).action == SilenceAction::End);
    attempt.holdsMemoryElsewhere = false;
    CHECK_TRUE(decideOnSilence(attempt, yes, yes).action != SilenceAction::End);
}

TEST(SilenceDecisionTest, aPausedStreamIsNeitherEndedNorFailedOver)
{
    CHECK_TRUE(rc::check([] {
        const auto silence = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
        const auto doubt = std::chrono::milliseconds(*rc::gen::inRange(0, 60'000));
        SilentAttempt paused = makePaused(silence, *rc::gen::arbitrary<bool>() ? std::optional(doubt) : std::nullopt);
        paused.holdsMemoryElsewhere = *rc::gen::arbitrary<bool>();
        paused.failover = *rc::gen::element(FailoverAction::Fail, FailoverAction::Resume, FailoverAction::Retry);
        const SilenceAction action = decideOnSilence(paused, yes, yes).action;
        const bool mustRelease = paused.holdsMemoryElsewhere && paused.isUpstreamDoubtful
            && silence >= longestSoundSilence && doubt >= longestSoundSilence;
        RC_ASSERT(action == (mustRelease ? SilenceAction::Release : SilenceAction::Wait));
    }));
}
