#include <admission/configuredqueue.h>
#include <admission/fairqueue.h>
#include <admission/fifoqueue.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

using namespace Admission;
using Configuration::LengthClass;

namespace {

QueuedRequest makeRequest(const std::string& attempt, const std::string& account, LengthClass lengthClass,
    std::int64_t tokens, Foundation::TimePoint arrival = {})
{
    QueuedRequest request;
    request.attempt = attempt;
    request.account = account;
    request.lengthClass = lengthClass;
    request.promptTokens = tokens;
    request.memoryTokens = tokens;
    request.arrival = arrival;
    request.deadline = arrival + std::chrono::minutes(1);
    return request;
}

bool acceptAny(const QueuedRequest&) { return true; }

} // namespace

TEST_GROUP(RequestQueues)
{
    Foundation::ManualClock clock;
    FairQueue queue;

    std::string next()
    {
        const auto request = this->queue.startNext(this->clock.now(), &acceptAny);
        return request ? request->attempt : std::string();
    }
};

TEST(RequestQueues, servesShortBeforeLong)
{
    this->queue.push(makeRequest("long", "a", LengthClass::Long, 500'000));
    this->queue.push(makeRequest("short", "a", LengthClass::Short, 1'000));
    STRCMP_EQUAL("short", this->next().c_str());
    STRCMP_EQUAL("long", this->next().c_str());
}

TEST(RequestQueues, doesNotStarveLongRequestsUnderConstantShortLoad)
{
    this->queue.push(makeRequest("long", "a", LengthClass::Long, 500'000));
    int served = 0;
    for (; served < 1000; ++served) {
        this->clock.advance(std::chrono::milliseconds(100));
        this->queue.push(makeRequest(std::to_string(served), "a", LengthClass::Short, 1'000, this->clock.now()));
        if (this->next() == "long")
            break;
    }
    CHECK_TRUE(served < 150);
}

TEST(RequestQueues, sharesBetweenAccountsByWeight)
{
    for (int i = 0; i < 300; ++i) {
        auto heavy = makeRequest("h" + std::to_string(i), "heavy", LengthClass::Short, 1'000);
        heavy.accountWeight = 2;
        this->queue.push(heavy);
        this->queue.push(makeRequest("l" + std::to_string(i), "light", LengthClass::Short, 1'000));
    }
    int heavyServed = 0;
    for (int i = 0; i < 90; ++i)
        heavyServed += this->next().starts_with("h") ? 1 : 0;
    CHECK_TRUE(heavyServed >= 58 && heavyServed <= 62);
}

TEST(RequestQueues, givesAnIdleAccountNoCredit)
{
    for (int i = 0; i < 100; ++i)
        this->queue.push(makeRequest("a" + std::to_string(i), "a", LengthClass::Short, 1'000));
    for (int i = 0; i < 50; ++i)
        this->next();
    for (int i = 0; i < 100; ++i)
        this->queue.push(makeRequest("b" + std::to_string(i), "b", LengthClass::Short, 1'000));
    int served = 0;
    for (int i = 0; i < 20; ++i)
        served += this->next().starts_with("b") ? 1 : 0;
    CHECK_TRUE(served >= 9 && served <= 11);
}

TEST(RequestQueues, aRequestThatCannotStartIsOvertakenUntilItHasWaitedTooLong)
{
    const auto onlyShort = [](const QueuedRequest& request) { return request.lengthClass == LengthClass::Short; };
    this->queue.push(makeRequest("long", "a", LengthClass::Long, 500'000));
    this->queue.push(makeRequest("s1", "a", LengthClass::Short, 1));
    CHECK_TRUE(this->queue.startNext(this->clock.now(), onlyShort)->attempt == "s1");
    this->clock.advance(std::chrono::seconds(13));
    this->queue.push(makeRequest("s2", "a", LengthClass::Short, 1, this->clock.now()));
    CHECK_FALSE(this->queue.startNext(this->clock.now(), onlyShort).has_value());
}

TEST(RequestQueues, fifoServesShortAfterEarlierLong)
{
    FifoQueue fifo;
    fifo.push(makeRequest("long", "a", LengthClass::Long, 500'000));
    fifo.push(makeRequest("short", "a", LengthClass::Short, 1'000));
    LONGS_EQUAL(501'000, fifo.tokensAhead(LengthClass::Short));
    CHECK_TRUE(fifo.startNext(this->clock.now(), &acceptAny)->attempt == "long");
}

TEST(RequestQueues, everyRequestIsRemovedExactlyOnce)
{
    CHECK_TRUE(rc::check("no request is lost or duplicated by pushes, starts, removals and changes of the order", [] {
        Foundation::ManualClock clock;
        ConfiguredQueue configuredQueue;
        std::set<std::string> queued;
        std::int64_t tokens = 0;
        std::map<std::string, std::int64_t> sizes;
        int nextAttempt = 0;
        const auto recordRemoval = [&](const std::string& attempt) {
            RC_ASSERT(queued.erase(attempt) == 1);
            tokens -= sizes[attempt];
        };
        for (int step = 0; step < 200; ++step) {
            clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
            const auto action = *rc::gen::inRange(0, 12);
            if (action < 6) {
                const auto lengthClass = static_cast<LengthClass>(*rc::gen::inRange(0, 3));
                const auto size = *rc::gen::inRange<std::int64_t>(1, 1000);
                const std::string attempt = std::to_string(nextAttempt++);
                const std::string account = std::to_string(*rc::gen::inRange(0, 4));
                configuredQueue.push(makeRequest(attempt, account, lengthClass, size, clock.now()));
                queued.insert(attempt);
                sizes[attempt] = size;
                tokens += size;
            } else if (action < 9) {
                const auto started = configuredQueue.startNext(clock.now(), &acceptAny);
                RC_ASSERT(started.has_value() == !queued.empty());
                if (started)
                    recordRemoval(started->attempt);
            } else if (action < 11) {
                const std::string attempt = std::to_string(*rc::gen::inRange(0, nextAttempt + 1));
                const bool isQueued = queued.contains(attempt);
                RC_ASSERT(configuredQueue.remove(attempt) == isQueued);
                if (isQueued)
                    recordRemoval(attempt);
            } else {
                configuredQueue.setPolicy(*rc::gen::arbitrary<bool>() ? Configuration::QueuePolicy::Fair
                                                                      : Configuration::QueuePolicy::FirstInFirstOut);
            }
            RC_ASSERT(configuredQueue.size() == queued.size());
            RC_ASSERT(configuredQueue.tokensAhead(LengthClass::Long) == tokens);
        }
    }));
}
