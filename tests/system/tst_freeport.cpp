#include <fleet/fleet.h>

#include <CppUTest/TestHarness.h>
#include <asio.hpp>

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
