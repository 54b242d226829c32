#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>

/** Returns a TCP port of the loopback address on which no process listens at the time of the call. */
inline std::uint16_t unusedPort()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}
