#include <fleet/fleet.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

#include <atomic>
#include <thread>

TEST_GROUP(FreePort) {};

// Two programs that look for ports at the same time found the same one before either had bound it.
TEST(FreePort, aPortThatAnotherProcessHasFoundIsNotReturned)
{
    asio::io_context context;
    const int found = Fleet::findFreePort();
    asio::ip::udp::socket reservation(context);
    reservation.open(asio::ip::udp::v4());
    asio::error_code error;
    reservation.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(found) }, error);
    CHECK_TRUE(bool(error));
    reservation.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(found + 1) }, error);
    CHECK_TRUE(Fleet::findFreePort() != found + 1);
}

// Even a short look at the port would keep the server from listening that the other program starts on it just then.
TEST(FreePort, aPortThatAnotherProcessHasReservedIsNotBoundForAMoment)
{
    constexpr int portCount = 12'000;
    constexpr int rounds = 10;
    asio::io_context context;
    const int reserved = Fleet::findFreePort() + 10;
    asio::ip::udp::socket reservation(context);
    reservation.open(asio::ip::udp::v4());
    asio::error_code ignored;
    reservation.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(reserved) }, ignored);
    std::atomic<bool> isStopped = false;
    int failures = 0;
    std::thread server([&] {
        while (!isStopped) {
            asio::io_context serverContext;
            asio::ip::tcp::acceptor acceptor(serverContext, asio::ip::tcp::v4());
            asio::error_code error;
            acceptor.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(reserved) }, error);
            failures += error ? 1 : 0;
        }
    });
    for (int i = 0; i < rounds * portCount; ++i)
        Fleet::findFreePort();
    isStopped = true;
    server.join();
    LONGS_EQUAL(0, failures);
}
