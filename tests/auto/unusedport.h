#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>

#include <unistd.h>

/**
 * Returns a TCP port of the loopback address on which no process listens at the time of the call. Test programs that
 * run at the same time use different ranges below the system's ephemeral ports, so that none takes the port of another
 * between this call and its use.
 */
inline std::uint16_t unusedPort()
{
    constexpr int firstPort = 10'000;
    constexpr int portsPerProcess = 200;
    constexpr int ranges = 100;
    static int next = 0;
    const int rangeStart = firstPort + (static_cast<int>(::getpid()) % ranges) * portsPerProcess;
    asio::io_context context;
    for (int tries = 0; tries < portsPerProcess; ++tries) {
        const auto port = static_cast<std::uint16_t>(rangeStart + next++ % portsPerProcess);
        asio::ip::tcp::acceptor acceptor(context);
        acceptor.open(asio::ip::tcp::v4());
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        asio::error_code error;
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), port }, error);
        if (!error)
            acceptor.listen(1, error);
        if (!error)
            return port;
    }
    return 0;
}
