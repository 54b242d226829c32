#include <routing/answerassembly.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace Routing;

TEST_GROUP(AnswerAssembly) {};

TEST(AnswerAssembly, isCompleteOnlyWithExactlyTheSentBytes)
{
    CHECK_TRUE(rc::check("reordered, duplicate and missing chunks never make a wrong answer look complete", [] {
        const auto chunks = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        AnswerAssembly sender;
        std::string sent;
        for (std::size_t i = 0; i < chunks.size(); ++i) {
            sender.accept(i, chunks[i]);
            sent += chunks[i];
        }
        AnswerAssembly receiver;
        std::string received;
        for (int step = 0; step < 100 && !chunks.empty(); ++step) {
            const auto index = *rc::gen::inRange<std::size_t>(0, chunks.size());
            if (receiver.accept(index, chunks[index]) == ChunkVerdict::Accepted)
                received += chunks[index];
            const bool isComplete = receiver.isComplete(chunks.size(), sender.hash());
            RC_ASSERT(!isComplete || received == sent);
            RC_ASSERT(isComplete == (receiver.nextSequence() == chunks.size()));
        }
    }));
}

TEST(AnswerAssembly, detectsAChangedByteAndAGap)
{
    AnswerAssembly sender;
    sender.accept(0, "abc");
    AnswerAssembly receiver;
    receiver.accept(0, "abd");
    CHECK_FALSE(receiver.isComplete(1, sender.hash()));
    CHECK_TRUE(receiver.accept(2, "x") == ChunkVerdict::Gap);
    CHECK_TRUE(receiver.accept(0, "x") == ChunkVerdict::Duplicate);
}
