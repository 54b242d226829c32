#include "memoryleasemanager.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace Gateway;
using PlatformAdapter::LeaseDescriptor;
using PlatformAdapter::OrderOutcome;
using namespace std::chrono_literals;

namespace {

// The users' limit for memory that stays reserved after its last use.
constexpr Foundation::Duration releaseLimit = 4s;

// Engines that execute orders at once, or lose the answer and execute the order when the test asks for it. Leases that
// are not renewed expire.
struct FakeEngineOrders {
    using EndHandler = std::function<void(OrderOutcome)>;

    explicit FakeEngineOrders(const Foundation::Clock& clock)
        : clock(clock)
    {
    }

    void reserve(const LeaseDescriptor& descriptor, Foundation::Duration duration, EndHandler onEnd)
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
        this->expiryTimes[descriptor.name] = this->clock.now() + duration;
        this->answer(std::move(onEnd), OrderOutcome::Done);
    }

    void release(const LeaseDescriptor& descriptor, EndHandler onEnd)
    {
        ++this->releaseCount;
        if (this->areReleasesLost) {
            onEnd(OrderOutcome::Unknown);
            return;
        }
        this->reservedNames.erase(descriptor.name);
        this->answer(std::move(onEnd), OrderOutcome::Done);
    }

    void answer(EndHandler onEnd, OrderOutcome outcome)
    {
        if (this->areAnswersLate)
            this->lateAnswers.push_back([onEnd = std::move(onEnd), outcome] { onEnd(outcome); });
        else
            onEnd(outcome);
    }

    void deliverLateAnswers()
    {
        this->areAnswersLate = false;
        for (const auto& deliver : std::exchange(this->lateAnswers, {}))
            deliver();
    }

    void expireLeases()
    {
        std::erase_if(this->reservedNames, [this](const std::string& name) {
            return this->expiryTimes.contains(name) && this->clock.now() >= this->expiryTimes[name];
        });
    }

    void executeDelayedReserves()
    {
        this->reservedNames.insert(this->delayedReserves.begin(), this->delayedReserves.end());
        this->delayedReserves.clear();
    }

    const Foundation::Clock& clock;
    std::set<std::string> reservedNames;
    std::map<std::string, Foundation::TimePoint> expiryTimes;
    std::vector<std::string> delayedReserves;
    std::vector<std::function<void()>> lateAnswers;
    std::string fullUpstream;
    bool areAnswersLost = false;
    bool areReleasesLost = false;
    bool areAnswersLate = false;
    int reserveCount = 0;
    int releaseCount = 0;
};

} // namespace

TEST_GROUP(MemoryLeaseManagerTest)
{
    Foundation::ManualClock clock;
    FakeEngineOrders orders { this->clock };
    MemoryLeaseManager<FakeEngineOrders> manager { this->orders, this->clock, "n-" };
    std::vector<std::string> leaseNames;
    bool isDone = false;
    bool isInUse = true;

    MemoryReservationId reserveAtTwoEngines()
    {
        return this->manager.reserve(
            { { "a", "a:1", 100 }, { "b", "b:1", 100 } }, [this] { return this->isInUse; },
            [this](const std::vector<std::string>& reservedNames) {
                this->isDone = true;
                this->leaseNames = reservedNames;
            });
    }

    void advance(Foundation::Duration duration)
    {
        for (Foundation::Duration passed {}; passed < duration; passed += 20ms) {
            this->clock.advance(20ms);
            this->manager.tick();
            this->orders.expireLeases();
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

TEST(MemoryLeaseManagerTest, releasesMemoryThatIsNotInUseAnyMoreAlthoughItsOwnerDoesNot)
{
    this->reserveAtTwoEngines();
    this->advance(5s);
    UNSIGNED_LONGS_EQUAL(2, this->orders.reservedNames.size());
    this->isInUse = false;
    this->advance(20ms);
    CHECK_TRUE(this->orders.reservedNames.empty());
    const int before = this->orders.reserveCount;
    this->advance(10s);
    LONGS_EQUAL(before, this->orders.reserveCount);
    UNSIGNED_LONGS_EQUAL(0, this->manager.size());
}

TEST(MemoryLeaseManagerTest, aReservationThatIsNotInUseAnyMoreIsNotReported)
{
    this->orders.areAnswersLate = true;
    this->reserveAtTwoEngines();
    this->isInUse = false;
    this->advance(20ms);
    this->orders.deliverLateAnswers();
    this->advance(20ms);
    CHECK_FALSE(this->isDone);
    CHECK_TRUE(this->orders.reservedNames.empty());
}

TEST(MemoryLeaseManagerTest, releasesMemoryWhoseRenewalIsInFlight)
{
    const MemoryReservationId id = this->reserveAtTwoEngines();
    this->orders.areAnswersLate = true;
    this->advance(1'220ms);
    LONGS_EQUAL(4, this->orders.reserveCount);
    this->manager.release(id);
    this->advance(200ms);
    LONGS_EQUAL(0, this->orders.releaseCount);
    this->orders.deliverLateAnswers();
    this->advance(20ms);
    CHECK_TRUE(this->orders.reservedNames.empty());
    const int before = this->orders.reserveCount;
    this->advance(10s);
    LONGS_EQUAL(before, this->orders.reserveCount);
}

TEST(MemoryLeaseManagerTest, memoryExpiresWithinTheLimitWhenAllReleasesAreLost)
{
    const MemoryReservationId id = this->reserveAtTwoEngines();
    this->advance(5s);
    this->orders.areReleasesLost = true;
    this->manager.release(id);
    this->advance(releaseLimit);
    CHECK_TRUE(this->orders.reservedNames.empty());
    this->advance(20s);
    UNSIGNED_LONGS_EQUAL(0, this->manager.size());
}

TEST(MemoryLeaseManagerTest, memoryExpiresWithinTheLimitWhenItsProcessIsKilled)
{
    this->reserveAtTwoEngines();
    this->advance(5s);
    for (Foundation::Duration passed {}; passed < releaseLimit; passed += 20ms) {
        this->clock.advance(20ms);
        this->orders.expireLeases();
    }
    CHECK_TRUE(this->orders.reservedNames.empty());
}

TEST(MemoryLeaseManagerTest, releasesRenewalsThatAreExecutedAfterTheRelease)
{
    const MemoryReservationId id = this->reserveAtTwoEngines();
    this->orders.areAnswersLost = true;
    this->advance(1'220ms);
    this->orders.areAnswersLost = false;
    this->manager.release(id);
    CHECK_TRUE(this->orders.reservedNames.empty());
    this->advance(11s);
    this->orders.executeDelayedReserves();
    UNSIGNED_LONGS_EQUAL(2, this->orders.reservedNames.size());
    this->advance(1s);
    CHECK_TRUE(this->orders.reservedNames.empty());
}
