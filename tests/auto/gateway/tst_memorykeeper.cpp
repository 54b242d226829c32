#include "memorykeeper.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace Gateway;
using PlatformAdapter::MemoryTicket;
using PlatformAdapter::OrderEnd;
using namespace std::chrono_literals;

namespace {

// Engines that carry orders out at once, lose answers, or carry orders out late.
struct PlayedOrders {
    using EndHandler = std::function<void(OrderEnd)>;

    void reserve(const MemoryTicket& ticket, Foundation::Duration, EndHandler onEnd)
    {
        ++this->reserves;
        if (this->answersLost) {
            this->lateReserves.push_back(ticket.name);
            onEnd(OrderEnd::Unknown);
            return;
        }
        if (ticket.upstream == this->fullUpstream) {
            onEnd(OrderEnd::Refused);
            return;
        }
        this->held.insert(ticket.name);
        onEnd(OrderEnd::Done);
    }

    void release(const MemoryTicket& ticket, EndHandler onEnd)
    {
        ++this->releases;
        this->held.erase(ticket.name);
        onEnd(OrderEnd::Done);
    }

    void carryOutLate()
    {
        this->held.insert(this->lateReserves.begin(), this->lateReserves.end());
        this->lateReserves.clear();
    }

    std::set<std::string> held;
    std::vector<std::string> lateReserves;
    std::string fullUpstream;
    bool answersLost = false;
    int reserves = 0;
    int releases = 0;
};

} // namespace

TEST_GROUP(MemoryKeeperTest)
{
    Foundation::ManualClock clock;
    PlayedOrders orders;
    MemoryKeeper<PlayedOrders> keeper { this->orders, this->clock, "n-" };
    std::vector<std::string> names;
    bool isDone = false;

    MemoryId reserveTwo()
    {
        return this->keeper.reserve(
            { { "a", "a:1", 100 }, { "b", "b:1", 100 } }, [this](const std::vector<std::string>& given) {
                this->isDone = true;
                this->names = given;
            });
    }

    void play(Foundation::Duration length)
    {
        for (Foundation::Duration passed {}; passed < length; passed += 20ms) {
            this->clock.advance(20ms);
            this->keeper.tick();
        }
    }
};

TEST(MemoryKeeperTest, allEnginesOrNone)
{
    this->reserveTwo();
    CHECK_TRUE(this->isDone);
    UNSIGNED_LONGS_EQUAL(2, this->names.size());
    this->orders.fullUpstream = "b";
    this->reserveTwo();
    CHECK_TRUE(this->names.empty());
    this->play(1s);
    UNSIGNED_LONGS_EQUAL(2, this->orders.held.size());
}

TEST(MemoryKeeperTest, leasesAreRenewedUntilTheyAreReleased)
{
    const MemoryId id = this->reserveTwo();
    this->play(5s);
    CHECK_TRUE(this->orders.reserves >= 8);
    this->keeper.release(id);
    CHECK_TRUE(this->orders.held.empty());
    const int before = this->orders.reserves;
    this->play(5s);
    LONGS_EQUAL(before, this->orders.reserves);
    UNSIGNED_LONGS_EQUAL(0, this->keeper.size());
}

TEST(MemoryKeeperTest, anOrderThatIsCarriedOutLateLeavesNothingSetAside)
{
    this->orders.answersLost = true;
    this->reserveTwo();
    CHECK_TRUE(this->isDone);
    CHECK_TRUE(this->names.empty());
    this->orders.answersLost = false;
    this->play(11s);
    this->orders.carryOutLate();
    UNSIGNED_LONGS_EQUAL(1, this->orders.held.size());
    this->play(2s);
    CHECK_TRUE(this->orders.held.empty());
    this->play(5s);
    UNSIGNED_LONGS_EQUAL(0, this->keeper.size());
}

TEST(MemoryKeeperTest, aLostRenewalIsSentAgain)
{
    this->reserveTwo();
    this->orders.answersLost = true;
    this->play(2s);
    const int before = this->orders.reserves;
    this->orders.answersLost = false;
    this->play(200ms);
    CHECK_TRUE(this->orders.reserves >= before + 2);
}
