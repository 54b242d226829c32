#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>

/** @return a TCP port of the loopback address that nothing listens on at the time of the call. */
inline std::uint16_t unusedPort()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}
