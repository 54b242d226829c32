#include <wire/bodysender.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

using namespace Wire;

TEST_GROUP(BodySender) {};

TEST(BodySender, limitsChunksInFlight)
{
    const auto body = std::make_shared<const std::string>(10 * maximumChunkBytes + 7, 'x');
    BodySender sender("a", body, Interleaving::On);
    std::vector<BodyChunk> chunks;
    const auto collect = [&chunks](BodyChunk chunk) { chunks.push_back(std::move(chunk)); };
    sender.advance(0, collect);
    LONGS_EQUAL(bodyWindowChunks, chunks.size());
    sender.advance(0, collect);
    LONGS_EQUAL(bodyWindowChunks, chunks.size());
    for (std::uint64_t received = 1; received <= 11; ++received)
        sender.advance(received, collect);
    LONGS_EQUAL(11, chunks.size());
    CHECK_TRUE(chunks.back().last);
    std::string receivedBody;
    for (const BodyChunk& chunk : chunks)
        receivedBody += chunk.data;
    CHECK_TRUE(receivedBody == *body);
}

TEST(BodySender, sendsAllChunksAtOnceWithoutInterleaving)
{
    BodySender sender("a", std::make_shared<const std::string>(10 * maximumChunkBytes, 'x'), Interleaving::Off);
    int count = 0;
    sender.advance(0, [&count](const BodyChunk&) { ++count; });
    LONGS_EQUAL(10, count);
}
