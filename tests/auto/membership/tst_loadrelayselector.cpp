#include <membership/loadrelayselector.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace Membership;
using namespace std::chrono_literals;

namespace {

const Foundation::TimePoint start { 100s };

} // namespace

TEST_GROUP(LoadRelaySelectorTest)
{
    LoadRelaySelector selector { { "a-3", "a", 0.1 } };

    void setup() override
    {
        this->selector.add({ "a-1", "a", 0.1 });
        this->selector.add({ "a-2", "a", 0.5 });
        this->selector.add({ "b-1", "b", 0.1 });
    }

    // Queries the relay of domain a at short intervals, as the processes do, while the given processes send updates.
    std::string relayAfter(Foundation::Duration time, std::vector<std::string> senders)
    {
        std::string relay;
        for (Foundation::Duration elapsed {}; elapsed <= time; elapsed += 20ms) {
            this->now += 20ms;
            for (const std::string& process : senders)
                this->selector.recordUpdate(process, this->now);
            relay = this->selector.selectRelay("a", this->now);
        }
        return relay;
    }

    Foundation::TimePoint now = start;
};

TEST(LoadRelaySelectorTest, prefersMoreCoresThenTheFirstName)
{
    STRCMP_EQUAL("a-2", this->selector.selectRelay("a", start).c_str());
    this->selector.remove("a-2");
    STRCMP_EQUAL("a-1", this->selector.selectRelay("a", start).c_str());
    STRCMP_EQUAL("b-1", this->selector.selectRelay("b", start).c_str());
    STRCMP_EQUAL("", this->selector.selectRelay("c", start).c_str());
}

TEST(LoadRelaySelectorTest, skipsASilentProcessAndTriesItAgainLater)
{
    STRCMP_EQUAL("a-2", this->relayAfter(5s, { "a-2" }).c_str());
    STRCMP_EQUAL("a-1", this->relayAfter(800ms, { "a-1" }).c_str());
    STRCMP_EQUAL("a-2", this->relayAfter(3s, { "a-1", "a-2" }).c_str());
}

TEST(LoadRelaySelectorTest, selectsItselfIfAllOthersAreSilent)
{
    STRCMP_EQUAL("a-3", this->relayAfter(1'500ms, {}).c_str());
}

TEST(LoadRelaySelectorTest, doesNotTimeOutAProcessThatWasNotQueriedFor)
{
    STRCMP_EQUAL("b-1", this->selector.selectRelay("b", start).c_str());
    STRCMP_EQUAL("b-1", this->selector.selectRelay("b", start + 10s).c_str());
    CHECK_TRUE(this->selector.candidatesByDomain().contains("b"));
    this->selector.remove("b-1");
    CHECK_FALSE(this->selector.candidatesByDomain().contains("b"));
}

TEST(LoadRelaySelectorTest, aSilentRelayIsReplacedWithinItsGroupOnly)
{
    for (const char* const process : { "a-4", "a-5", "a-6" })
        this->selector.add({ process, "a", 0.1 });
    const auto relayOf = [this](std::size_t group) { return this->selector.selectRelay("a", this->now, group, 2); };
    // The ranking is a-2, a-1, a-3 (this process), a-4, a-5, a-6; the groups take turns in it.
    std::string first;
    std::string second;
    for (Foundation::Duration elapsed {}; elapsed <= 700ms; elapsed += 20ms) {
        this->now += 20ms;
        this->selector.recordUpdate("a-1", this->now);
        first = relayOf(0);
        second = relayOf(1);
    }
    STRCMP_EQUAL("a-3", first.c_str());
    STRCMP_EQUAL("a-1", second.c_str());
    LONGS_EQUAL(2, this->selector.domainRank());
}
