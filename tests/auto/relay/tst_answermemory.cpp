#include <relay/answermemory.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <deque>

using namespace Relay;

TEST_GROUP(AnswerMemoryTest) {};

TEST(AnswerMemoryTest, oneAnswerMayHoldHalfOfTheMemory)
{
    const AnswerMemory memory(1'000);
    AnswerMemory::Share share(memory);
    share.resize(500);
    CHECK_TRUE(share.isWithinLimit());
    share.resize(501);
    CHECK_FALSE(share.isWithinLimit());
}

TEST(AnswerMemoryTest, endlessAnswersLeaveRoomForOthers)
{
    const AnswerMemory memory(1'000'000);
    std::deque<AnswerMemory::Share> endless;
    for (int i = 0; i < 16; ++i)
        endless.emplace_back(memory);
    std::size_t size = 0;
    for (bool hasGrown = true; hasGrown;) {
        size += 100;
        hasGrown = false;
        for (AnswerMemory::Share& share : endless) {
            if (size <= share.limit()) {
                share.resize(size);
                hasGrown = true;
            }
        }
    }
    AnswerMemory::Share other(memory);
    other.resize(20'000);
    CHECK_TRUE(other.isWithinLimit());
}

TEST(AnswerMemoryTest, anEndedAnswerGivesItsMemoryBackAlsoAfterTheProcessGaveUpItsMemory)
{
    auto memory = std::make_unique<AnswerMemory>(1'000);
    {
        AnswerMemory::Share share(*memory);
        share.resize(300);
        UNSIGNED_LONGS_EQUAL(300, memory->heldBytes());
    }
    UNSIGNED_LONGS_EQUAL(0, memory->heldBytes());
    AnswerMemory::Share outliving(*memory);
    outliving.resize(100);
    memory.reset();
    outliving.resize(50);
}

TEST(AnswerMemoryTest, theAnswersWithinTheirLimitsNeverExceedTheCapacity)
{
    CHECK_TRUE(rc::check([] {
        const AnswerMemory memory(10'000);
        std::deque<AnswerMemory::Share> shares;
        for (int i = 0; i < 5; ++i)
            shares.emplace_back(memory);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 12'000)));
        for (const auto& [index, bytes] : steps) {
            if (static_cast<std::size_t>(bytes) <= shares[static_cast<std::size_t>(index)].limit())
                shares[static_cast<std::size_t>(index)].resize(static_cast<std::size_t>(bytes));
            RC_ASSERT(memory.heldBytes() <= 10'000U);
        }
    }));
}
