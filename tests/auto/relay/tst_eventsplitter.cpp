#include <relay/eventsplitter.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

using namespace Relay;

TEST_GROUP(EventSplitterTest) {};

TEST(EventSplitterTest, returnsOnlyCompleteEvents)
{
    EventSplitter splitter;
    STRCMP_EQUAL("", splitter.feed("id: 1\nda").c_str());
    STRCMP_EQUAL("id: 1\ndata: x\n\n", splitter.feed("ta: x\n\nid: 2\n").c_str());
    STRCMP_EQUAL("1", splitter.lastEventId().c_str());
    STRCMP_EQUAL("id: 2\n", splitter.partialEvent().c_str());
    UNSIGNED_LONGS_EQUAL(1, splitter.eventCount());
}

TEST(EventSplitterTest, returnsTheBytesUnchangedForAnyChunkSizes)
{
    CHECK_TRUE(rc::check([] {
        const auto count = *rc::gen::inRange(0, 8);
        std::string input;
        for (int i = 1; i <= count; ++i)
            input += "x-weight-versions: 3\nid: " + std::to_string(i)
                + "\ndata: " + std::string(static_cast<std::size_t>(i), 'd') + "\n\n";
        const auto sizes = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, 9));
        EventSplitter splitter;
        std::string output;
        std::string_view remaining = input;
        for (std::size_t i = 0; !remaining.empty(); ++i) {
            const std::size_t size
                = std::min(remaining.size(), sizes.empty() ? remaining.size() : sizes[i % sizes.size()]);
            output += splitter.feed(remaining.substr(0, size));
            remaining.remove_prefix(size);
        }
        RC_ASSERT(output + splitter.partialEvent() == input);
        RC_ASSERT(splitter.eventCount() == static_cast<std::uint64_t>(count));
    }));
}

TEST(EventSplitterTest, aResumedStreamContinuesAfterTheLastCompleteEvent)
{
    EventSplitter splitter;
    splitter.feed("id: 4\ndata: a\n\nid: 5\nda");
    splitter.beginResumedStream();
    STRCMP_EQUAL("id: 5\ndata: b\n\n", splitter.feed("id: 5\ndata: b\n\n").c_str());
    CHECK_FALSE(splitter.isOutOfOrder());
}

TEST(EventSplitterTest, aStreamThatStartsFromTheBeginningIsOutOfOrder)
{
    EventSplitter splitter;
    splitter.feed("id: 4\ndata: a\n\n");
    splitter.beginResumedStream();
    STRCMP_EQUAL("", splitter.feed("id: 1\ndata: a\n\n").c_str());
    CHECK_TRUE(splitter.isOutOfOrder());
}

TEST(EventSplitterTest, acceptsCarriageReturnsAtLineEnds)
{
    EventSplitter splitter;
    STRCMP_EQUAL("id:7\r\ndata: a\r\n\r\n", splitter.feed("id:7\r\ndata: a\r\n\r\n").c_str());
    STRCMP_EQUAL("7", splitter.lastEventId().c_str());
}
