#include <quarantine/suspectregister.h>

#include <CppUTest/TestHarness.h>

using namespace Quarantine;

TEST_GROUP(SuspectRegister)
{
    Foundation::ManualClock clock;
    SuspectRegister suspects { this->clock };
};

TEST(SuspectRegister, oneCrashMakesASuspectAndASecondQuarantinesIt)
{
    CHECK_TRUE(this->suspects.standingOf("f") == Standing::Clear);
    CHECK_TRUE(this->suspects.note({ "f", "x/1" }));
    CHECK_FALSE(this->suspects.note({ "f", "x/1" }));
    CHECK_TRUE(this->suspects.standingOf("f") == Standing::Suspect);
    STRCMP_EQUAL("x/1", this->suspects.crashOf("f").c_str());
    CHECK_TRUE(this->suspects.note({ "f", "y/1" }));
    CHECK_TRUE(this->suspects.standingOf("f") == Standing::Quarantined);
    CHECK_TRUE(this->suspects.crashOf("f").empty());
}

TEST(SuspectRegister, completionClearsASuspectButNotAQuarantinedRequest)
{
    this->suspects.note({ "f", "x/1" });
    this->suspects.clear("f");
    CHECK_TRUE(this->suspects.standingOf("f") == Standing::Clear);
    this->suspects.note({ "f", "x/1" });
    this->suspects.note({ "f", "y/1" });
    this->suspects.clear("f");
    CHECK_TRUE(this->suspects.standingOf("f") == Standing::Quarantined);
}

TEST(SuspectRegister, expiresOldSuspectsAndLimitsTheirNumber)
{
    this->suspects.note({ "f", "x/1" });
    this->clock.advance(std::chrono::hours(7));
    CHECK_TRUE(this->suspects.standingOf("f") == Standing::Clear);
    for (int i = 0; i < 10'000; ++i) {
        this->clock.advance(std::chrono::milliseconds(1));
        this->suspects.note({ std::to_string(i), "x/1" });
    }
    CHECK_TRUE(this->suspects.size() <= 4096);
    CHECK_TRUE(this->suspects.standingOf("9999") == Standing::Suspect);
}
