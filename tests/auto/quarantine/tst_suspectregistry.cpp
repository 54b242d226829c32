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
