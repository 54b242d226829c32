#include "memoryleasemanager.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace Gateway;
using PlatformAdapter::LeaseDescriptor;
using PlatformAdapter::OrderOutcome;
using namespace std::chrono_literals;

namespace {

// Engines that execute orders at once, or lose the answer and execute the order when the test asks for it.
struct FakeEngineOrders {
    using EndHandler = std::function<void(OrderOutcome)>;

    void reserve(const LeaseDescriptor& descriptor, Foundation::Duration, EndHandler onEnd)
    {
        ++this->reserveCount;
        if (this->areAnswersLost) {
            this->delayedReserves.push_back(descriptor.name);
            onEnd(OrderOutcome::Unknown);
            return;
        }
        if (descriptor.upstream == this->fullUpstream) {
            onEnd(OrderOutcome::Refused);
            return;
        }
        this->reservedNames.insert(descriptor.name);
        onEnd(OrderOutcome::Done);
    }

    void release(const LeaseDescriptor& descriptor, EndHandler onEnd)
    {
        ++this->releaseCount;
        this->reservedNames.erase(descriptor.name);
        onEnd(OrderOutcome::Done);
    }

    void executeDelayedReserves()
    {
        this->reservedNames.insert(this->delayedReserves.begin(), this->delayedReserves.end());
        this->delayedReserves.clear();
    }

    std::set<std::string> reservedNames;
    std::vector<std::string> delayedReserves;
    std::string fullUpstream;
    bool areAnswersLost = false;
    int reserveCount = 0;
    int releaseCount = 0;
};

} // namespace

TEST_GROUP(MemoryLeaseManagerTest)
{
    Foundation::ManualClock clock;
    FakeEngineOrders orders;
    MemoryLeaseManager<FakeEngineOrders> manager { this->orders, this->clock, "n-" };
    std::vector<std::string> leaseNames;
    bool isDone = false;

    MemoryReservationId reserveAtTwoEngines()
    {
        return this->manager.reserve(
            { { "a", "a:1", 100 }, { "b", "b:1", 100 } }, [this](const std::vector<std::string>& reservedNames) {
                this->isDone = true;
                this->leaseNames = reservedNames;
            });
    }

    void advance(Foundation::Duration duration)
    {
        for (Foundation::Duration passed {}; passed < duration; passed += 20ms) {
            this->clock.advance(20ms);
            this->manager.tick();
        }
    }
};

TEST(MemoryLeaseManagerTest, reservesAtAllEnginesOrNone)
{
    this->reserveAtTwoEngines();
    CHECK_TRUE(this->isDone);
    UNSIGNED_LONGS_EQUAL(2, this->leaseNames.size());
    this->orders.fullUpstream = "b";
    this->reserveAtTwoEngines();
    CHECK_TRUE(this->leaseNames.empty());
    this->advance(1s);
    UNSIGNED_LONGS_EQUAL(2, this->orders.reservedNames.size());
}

TEST(MemoryLeaseManagerTest, renewsLeasesUntilRelease)
{
    const MemoryReservationId id = this->reserveAtTwoEngines();
    this->advance(5s);
    CHECK_TRUE(this->orders.reserveCount >= 8);
    this->manager.release(id);
    CHECK_TRUE(this->orders.reservedNames.empty());
    const int before = this->orders.reserveCount;
    this->advance(5s);
    LONGS_EQUAL(before, this->orders.reserveCount);
    UNSIGNED_LONGS_EQUAL(0, this->manager.size());
}

TEST(MemoryLeaseManagerTest, releasesMemoryOfReserveThatIsExecutedLate)
{
    this->orders.areAnswersLost = true;
    this->reserveAtTwoEngines();
    CHECK_TRUE(this->isDone);
    CHECK_TRUE(this->leaseNames.empty());
    this->orders.areAnswersLost = false;
    this->advance(11s);
    this->orders.executeDelayedReserves();
    UNSIGNED_LONGS_EQUAL(1, this->orders.reservedNames.size());
    this->advance(2s);
    CHECK_TRUE(this->orders.reservedNames.empty());
    this->advance(5s);
    UNSIGNED_LONGS_EQUAL(0, this->manager.size());
}

TEST(MemoryLeaseManagerTest, retriesLostRenewal)
{
    this->reserveAtTwoEngines();
    this->orders.areAnswersLost = true;
    this->advance(2s);
    const int before = this->orders.reserveCount;
    this->orders.areAnswersLost = false;
    this->advance(200ms);
    CHECK_TRUE(this->orders.reserveCount >= before + 2);
}
