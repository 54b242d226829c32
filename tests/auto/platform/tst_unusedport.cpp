#include "../../standins/listenfailure.h"
#include "../unusedport.h"

#include <web/httpserver.h>

#include <CppUTest/TestHarness.h>

#include <array>
#include <set>

TEST_GROUP(UnusedPortTest) {};

// The ranges depended on the process ids alone, so that programs whose ids were a multiple of 100 apart shared one.
TEST(UnusedPortTest, programsThatRunAtTheSameTimeHaveDifferentRanges)
{
    std::set<int> firstPorts;
    const std::array<TestPortRange, 5> ranges;
    for (const TestPortRange& range : ranges)
        firstPorts.insert(range.first());
    UNSIGNED_LONGS_EQUAL(ranges.size(), firstPorts.size());
}

// Such a server was not noticed, and the call of a test that it should have served ended with status 0.
TEST(UnusedPortTest, aServerOfATestThatCannotListenEndsTheTest)
{
    asio::io_context context;
    asio::ip::tcp::acceptor holder(context, { asio::ip::make_address("127.0.0.1"), unusedPort() });
    Web::HttpServer server { context, { "127.0.0.1", holder.local_endpoint().port(), 1'000 },
        [](const std::shared_ptr<Web::HttpExchange>&) {} };
    server.start(throwListenFailure(context));
    CHECK_THROWS(std::runtime_error, context.run());
}
