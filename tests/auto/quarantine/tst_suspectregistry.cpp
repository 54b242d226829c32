#include <quarantine/suspectregistry.h>

#include <CppUTest/TestHarness.h>

using namespace Quarantine;

TEST_GROUP(SuspectRegistry)
{
    Foundation::ManualClock clock;
    SuspectRegistry suspects { this->clock };
};

TEST(SuspectRegistry, oneCrashMakesASuspectAndASecondQuarantinesIt)
{
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
    CHECK_TRUE(this->suspects.record({ "f", "x/1" }));
    CHECK_FALSE(this->suspects.record({ "f", "x/1" }));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Suspect);
    STRCMP_EQUAL("x/1", this->suspects.suspectCrash("f").c_str());
    CHECK_TRUE(this->suspects.record({ "f", "y/1" }));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
    CHECK_TRUE(this->suspects.suspectCrash("f").empty());
}

TEST(SuspectRegistry, completionClearsASuspectButNotAQuarantinedRequest)
{
    this->suspects.record({ "f", "x/1" });
    this->suspects.clear("f");
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
    this->suspects.record({ "f", "x/1" });
    this->suspects.record({ "f", "y/1" });
    this->suspects.clear("f");
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, expiresOldSuspectsAndLimitsTheirNumber)
{
    this->suspects.record({ "f", "x/1" });
    this->clock.advance(std::chrono::hours(7));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
    for (int i = 0; i < 10'000; ++i) {
        this->clock.advance(std::chrono::milliseconds(1));
        this->suspects.record({ std::to_string(i), "x/1" });
    }
    CHECK_TRUE(this->suspects.size() <= 4096);
    CHECK_TRUE(this->suspects.status("9999") == QuarantineStatus::Suspect);
}

TEST(SuspectRegistry, aCrashThatIsOnlyPossibleCountsOnceItsUpstreamHasEnded)
{
    this->suspects.record({ "f", "x/1", CrashCertainty::Possible });
    this->suspects.record({ "f", "y/1", CrashCertainty::Possible });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
    this->clock.advance(std::chrono::seconds(3));
    UNSIGNED_LONGS_EQUAL(
        1, this->suspects.confirmEnded([](std::string_view generation) { return generation != "x/1"; }).size());
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Suspect);
    this->suspects.confirmEnded([](std::string_view) { return false; });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
    this->clock.advance(std::chrono::minutes(2));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aGenerationThatIsNotListedYetIsNotTakenAsEnded)
{
    this->suspects.record({ "f", "x/1", CrashCertainty::Possible });
    this->suspects.confirmEnded([](std::string_view) { return false; });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
}

TEST(SuspectRegistry, aSuspectedCrashCountsForALimitedTimeUnlessItsUpstreamHasEnded)
{
    this->suspects.record({ "f", "x/1", CrashCertainty::Suspected });
    this->suspects.record({ "f", "y/1", CrashCertainty::Suspected });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
    this->clock.advance(std::chrono::minutes(2));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
}

TEST(SuspectRegistry, anUpstreamFoundDownRaisesItsPossibleCrashes)
{
    this->suspects.record({ "f", "x/1", CrashCertainty::Possible });
    UNSIGNED_LONGS_EQUAL(1, this->suspects.suspectGeneration("x/1").size());
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Suspect);
    CHECK_TRUE(this->suspects.suspectGeneration("x/1").empty());
}

TEST(SuspectRegistry, anAttemptAtAnUpstreamThatWasDownAlreadyIsNoCrash)
{
    this->suspects.record({ "f", *this->suspects.crashName("x/1", this->clock.now()), CrashCertainty::Suspected });
    this->clock.advance(std::chrono::milliseconds(100));
    CHECK_FALSE(this->suspects.crashName("x/1", this->clock.now()).has_value());
}

TEST(SuspectRegistry, crashesOfARestartedUpstreamUnderItsOldGenerationCountEach)
{
    this->suspects.record({ "f", *this->suspects.crashName("x/1", this->clock.now()), CrashCertainty::Suspected });
    this->suspects.recordAnswer("x/1");
    this->clock.advance(std::chrono::milliseconds(100));
    this->suspects.record({ "f", *this->suspects.crashName("x/1", this->clock.now()), CrashCertainty::Suspected });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
    // The list then shows that one generation ended.
    this->clock.advance(std::chrono::seconds(3));
    this->suspects.confirmEnded([](std::string_view) { return false; });
    UNSIGNED_LONGS_EQUAL(1, this->suspects.crashCount("f"));
}

TEST(SuspectRegistry, aRequestThatHasCompletedIsNotQuarantinedByUpstreamsThatFailTogether)
{
    CHECK_FALSE(this->suspects.exonerate("f"));
    for (const char* const crash : { "x/1", "y/1", "z/1" })
        this->suspects.record({ "f", crash });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Suspect);
    CHECK_TRUE(this->suspects.exonerate("f"));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Clear);
    this->clock.advance(std::chrono::seconds(11));
    for (const char* const crash : { "x/1", "y/1", "z/1" })
        this->suspects.record({ "f", crash });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aQuarantinedRequestRunsAgainAfterATimeThatGrowsWithItsCrashes)
{
    this->suspects.record({ "f", "x/1" });
    this->suspects.record({ "f", "y/1" });
    this->clock.advance(std::chrono::minutes(14));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
    this->clock.advance(std::chrono::minutes(2));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Suspect);
    this->suspects.record({ "f", "z/1" });
    this->clock.advance(std::chrono::minutes(59));
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aQuarantinedRequestIsNotForgottenWhenManyOthersBecomeSuspects)
{
    this->suspects.record({ "f", "x/1" });
    this->suspects.record({ "f", "y/1" });
    for (int i = 0; i < 5'000; ++i) {
        this->clock.advance(std::chrono::milliseconds(1));
        this->suspects.record({ std::to_string(i), "x/1" });
    }
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aPossibleCrashIsWithdrawnIfItsAttemptHasNotRun)
{
    this->suspects.record({ "f", "x/1", CrashCertainty::Possible });
    CHECK_TRUE(this->suspects.withdraw({ "f", "x/1", CrashCertainty::Possible }));
    CHECK_TRUE(this->suspects.suspectGeneration("x/1").empty());
}

TEST(SuspectRegistry, possibleCrashesAreOpenNoticesUnlessTheRequestHasCompleted)
{
    this->suspects.record({ "f", "g1", CrashCertainty::Possible });
    this->suspects.record({ "f", "g2", CrashCertainty::Suspected });
    UNSIGNED_LONGS_EQUAL(2, this->suspects.openNotices("f").size());
    this->suspects.exonerate("f");
    this->suspects.record({ "f", "g3", CrashCertainty::Possible });
    UNSIGNED_LONGS_EQUAL(0, this->suspects.openNotices("f").size());
    UNSIGNED_LONGS_EQUAL(1, this->suspects.completions(8).size());
}

TEST(SuspectRegistry, silentUpstreamsDoNotQuarantineARequestThatManySendAlikeAndThatCompletes)
{
    for (int i = 0; i < 2; ++i)
        this->suspects.exonerate("f");
    this->clock.advance(std::chrono::seconds(11));
    for (const char* const crash : { "x/1", "y/1", "z/1" }) {
        this->suspects.record({ "f", crash, CrashCertainty::Suspected });
        this->suspects.record({ "g", crash, CrashCertainty::Suspected });
    }
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Suspect);
    CHECK_TRUE(this->suspects.status("g") == QuarantineStatus::Quarantined);
    // Upstreams that have ended count, since a request may begin to crash them.
    this->clock.advance(std::chrono::seconds(3));
    this->suspects.confirmEnded([](std::string_view) { return false; });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aRequestThatNoLongerCompletesIsQuarantinedBySilence)
{
    for (int i = 0; i < 2; ++i)
        this->suspects.exonerate("f");
    this->clock.advance(std::chrono::seconds(61));
    for (const char* const crash : { "x/1", "y/1" })
        this->suspects.record({ "f", crash, CrashCertainty::Suspected });
    CHECK_TRUE(this->suspects.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aCompletionThatIsToldCountsFromItsOwnTime)
{
    SuspectRegistry started(this->clock);
    for (int i = 0; i < 2; ++i)
        this->suspects.exonerate("f");
    this->suspects.exonerate("once");
    this->clock.advance(std::chrono::seconds(9));
    const std::vector<RequestCompletion> known = this->suspects.completions(8);
    UNSIGNED_LONGS_EQUAL(1, known.size());
    started.recordCompletion(known.front());
    for (const char* const crash : { "x/1", "y/1" })
        started.record({ "f", crash });
    CHECK_TRUE(started.status("f") == QuarantineStatus::Suspect);
    this->clock.advance(std::chrono::seconds(2));
    CHECK_TRUE(started.status("f") == QuarantineStatus::Quarantined);
}

TEST(SuspectRegistry, aCompletionThatIsToldLaterDoesNotRemoveCrashesSince)
{
    this->suspects.record({ "f", "x/1" });
    this->clock.advance(std::chrono::seconds(2));
    this->suspects.record({ "f", "y/1" });
    this->suspects.recordCompletion({ "f", std::chrono::seconds(1), 1 });
    UNSIGNED_LONGS_EQUAL(1, this->suspects.crashCount("f"));
}

TEST(SuspectRegistry, tellsTheRequestsThatCompleteMostOften)
{
    for (int i = 0; i < 5; ++i) {
        for (int runs = 0; runs < i + 2; ++runs)
            this->suspects.exonerate(std::to_string(i));
    }
    const std::vector<RequestCompletion> known = this->suspects.completions(2);
    UNSIGNED_LONGS_EQUAL(2, known.size());
    for (const RequestCompletion& completion : known)
        CHECK_TRUE(completion.count >= 5);
}
