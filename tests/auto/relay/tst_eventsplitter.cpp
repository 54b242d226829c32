#include <relay/eventsplitter.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <chrono>

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

TEST(EventSplitterTest, aStreamThatEndsInsideAnEventIsToldFromAWholeOne)
{
    for (const std::string lineEnd : { "\n", "\r\n", "\r" }) {
        const std::string stream
            = "id: 1" + lineEnd + "data: a" + lineEnd + lineEnd + "id: 2" + lineEnd + "data: b" + lineEnd + lineEnd;
        const std::size_t firstEnd = stream.find("id: 2");
        for (std::size_t size = 0; size <= stream.size(); ++size) {
            EventSplitter splitter;
            std::string output = splitter.feed(std::string_view(stream).substr(0, size));
            output += splitter.partialEvent();
            STRCMP_EQUAL(stream.substr(0, size).c_str(), output.c_str());
            // A carriage return ends the empty line by itself, and the line feed after it belongs to the same end.
            const bool isBeforeLineFeed = lineEnd.size() == 2 && (size + 1 == firstEnd || size + 1 == stream.size());
            const bool isBetweenEvents = size == 0 || size == firstEnd || size == stream.size() || isBeforeLineFeed;
            CHECK_EQUAL(!isBetweenEvents, splitter.isInsideEvent());
        }
    }
}

TEST(EventSplitterTest, emptyLinesAndCommentsBetweenEventsAreNotPartsOfAnEvent)
{
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: a\n\n\n: a comment\n");
    CHECK_FALSE(splitter.isInsideEvent());
    splitter.feed(": another");
    CHECK_TRUE(splitter.isInsideEvent());
}

TEST(EventSplitterTest, readsALongEventInTimeThatGrowsWithItsLength)
{
    const std::string part(16 * 1024, 'x');
    EventSplitter splitter;
    splitter.feed("data: ");
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 2'048; ++i)
        splitter.feed(part);
    // Reading the whole event again with each part would take minutes.
    CHECK_TRUE(std::chrono::steady_clock::now() - begin < std::chrono::seconds(5));
    CHECK_TRUE(splitter.isInsideEvent());
}

// A stream that failed over kept the memory of its unfinished event, which was not counted any more.
TEST(EventSplitterTest, aDiscardedEventGivesItsMemoryBack)
{
    EventSplitter splitter;
    splitter.feed("data: " + std::string(1'000'000, 'x'));
    splitter.discardPartialEvent();
    CHECK_TRUE(splitter.partialEvent().capacity() < 1'000);
}
