#include <platform/instancelistclient.h>
#include <platform/logclient.h>

#include <CppUTest/TestHarness.h>

using namespace Platform;

TEST_GROUP(PlatformDecoders) {};

TEST(PlatformDecoders, decodesALogPage)
{
    const auto page = decodeLogPage(
        R"({"first":3,"end":5,"retentionMs":1000,"records":[{"offset":3,"timeMs":7,"data":"x"}],"more":1})");
    LONGS_EQUAL(3, page.value().first);
    LONGS_EQUAL(1, page.value().records.size());
    STRCMP_EQUAL("x", page.value().records[0].data.c_str());
    CHECK_FALSE(decodeLogPage(R"({"first":3})").has_value());
    CHECK_FALSE(decodeLogPage("x").has_value());
}

TEST(PlatformDecoders, decodesAnInstanceList)
{
    const auto list = decodeInstanceList(
        R"({"instances":[{"id":"a","address":"1.2.3.4:5","upstream":"m","failureDomain":"d","leaving":true}]})");
    CHECK_TRUE(list.value().at(0).state == Membership::ListedState::Draining);
    CHECK_FALSE(decodeInstanceList(R"({"instances":[{"id":"a"}]})").has_value());
    CHECK_FALSE(decodeInstanceList(R"([])").has_value());
}
