#include <application/largeallocations.h>

#include <CppUTest/TestHarness.h>

#include <malloc.h>

#include <string>
#include <vector>

TEST_GROUP(LargeAllocationsTest) {};

// The allocator kept the freed memory of bodies and answers that had grown, beside what later ones took.
TEST(LargeAllocationsTest, freedBlocksAreNotKeptBetweenThoseInUse)
{
    constexpr std::size_t blockBytes = 400'000;
    constexpr std::size_t count = 200;
    Application::returnLargeAllocations();
    std::vector<std::string> large;
    std::vector<std::string> small;
    // A freed block of this size raises the allocator's threshold by default.
    large.emplace_back(10 * blockBytes, 'x');
    large.clear();
    for (std::size_t i = 0; i < count; ++i) {
        large.emplace_back(blockBytes, 'x');
        small.emplace_back(1'000, 'x');
    }
    large.clear();
    CHECK_TRUE(::mallinfo2().fordblks < count * blockBytes / 10);
}
