#include <admission/prefillbacklog.h>

#include <CppUTest/TestHarness.h>

using namespace Admission;
using Configuration::LengthClass;

TEST_GROUP(PrefillBacklog) { PrefillBacklog backlog { 10'000 }; };

TEST(PrefillBacklog, countsTokensThatTheEngineServesFirst)
{
    this->backlog.add("a", LengthClass::Short, 1'000);
    this->backlog.add("b", LengthClass::Long, 200'000);
    LONGS_EQUAL(1'000, this->backlog.tokensAhead(LengthClass::Short));
    LONGS_EQUAL(201'000, this->backlog.tokensAhead(LengthClass::Long));
    LONGS_EQUAL(1, this->backlog.count(LengthClass::Long));
    this->backlog.remove("b");
    this->backlog.remove("b");
    LONGS_EQUAL(1'000, this->backlog.tokensAhead(LengthClass::Long));
}

TEST(PrefillBacklog, estimatesTheRateWithinBounds)
{
    for (int i = 0; i < 200; ++i)
        this->backlog.recordPrefillTime(20'000, std::chrono::seconds(4));
    CHECK_TRUE(this->backlog.prefillTime(5'000) > std::chrono::milliseconds(990));
    for (int i = 0; i < 200; ++i)
        this->backlog.recordPrefillTime(20'000, std::chrono::hours(4));
    CHECK_TRUE(this->backlog.prefillTime(1'000) <= std::chrono::milliseconds(1'001));
}
