#include <admission/memoryledger.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace Admission;

TEST_GROUP(MemoryLedger) {};

TEST(MemoryLedger, matchesANaiveModelUnderRandomEvents)
{
    CHECK_TRUE(rc::check("the ledger matches a map whose values are summed up after each step", [] {
        constexpr std::int64_t capacity = 1000;
        MemoryLedger ledger(capacity);
        std::map<std::string, std::int64_t> reference;
        const auto referenceTotal = [&reference] {
            std::int64_t total = 0;
            for (const auto& [stream, tokens] : reference)
                total += tokens;
            return total;
        };
        for (int step = 0; step < 200; ++step) {
            const std::string stream = std::to_string(*rc::gen::inRange(0, 12));
            const auto tokens = *rc::gen::inRange<std::int64_t>(0, 400);
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                ledger.clear();
                reference.clear();
                break;
            case 1:
                ledger.adopt(stream, tokens);
                reference.emplace(stream, tokens);
                break;
            case 2:
            case 3:
            case 4:
                RC_ASSERT(ledger.release(stream) == (reference.erase(stream) == 1));
                break;
            default: {
                const bool fits = !reference.contains(stream) && referenceTotal() + tokens <= capacity;
                RC_ASSERT(ledger.reserve(stream, tokens) == fits);
                if (fits)
                    reference[stream] = tokens;
                RC_ASSERT(!fits || ledger.freeTokens() >= 0);
            }
            }
            RC_ASSERT(ledger.reservedTokens() == referenceTotal());
            RC_ASSERT(ledger.streams().size() == reference.size());
        }
    }));
}

TEST(MemoryLedger, refusesNegativeAndRepeatedReservations)
{
    MemoryLedger ledger(10);
    CHECK_FALSE(ledger.reserve("a", -1));
    CHECK_TRUE(ledger.reserve("a", 4));
    CHECK_FALSE(ledger.reserve("a", 1));
    ledger.setCapacity(2);
    CHECK_FALSE(ledger.reserve("b", 1));
    LONGS_EQUAL(4, ledger.reservedTokens());
}
