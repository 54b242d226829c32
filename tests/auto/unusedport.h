#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <cstdint>
#include <stdexcept>

#include <fcntl.h>
#include <unistd.h>

/**
 * The TCP ports that this process alone uses for its servers. They lie below the ports that Fleet::findFreePort() looks
 * at and below the system's ephemeral ports. Even a short look at a port by another process could keep a server from
 * listening on it, so a process claims its range before it looks, by a datagram socket on the range's first number.
 */
class TestPortRange {
public:
    static constexpr int size = 200;

    /** Throws if all ranges are claimed. */
    TestPortRange()
    {
        constexpr int lowestPort = 10'000;
        constexpr int ranges = 50;
        for (int i = 0; i < ranges; ++i) {
            this->firstPort = lowestPort + ((static_cast<int>(::getpid()) + i) % ranges) * size;
            if (this->claim())
                return;
        }
        throw std::runtime_error("all port ranges for tests are claimed");
    }

    int first() const { return this->firstPort; }

private:
    bool claim()
    {
        asio::ip::udp::socket socket(this->context, asio::ip::udp::v4());
        // A child process that outlives this one must not keep the claim.
        ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
        asio::error_code error;
        socket.bind({ asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(this->firstPort) }, error);
        if (error)
            return false;
        this->claimSocket = std::move(socket);
        return true;
    }

    asio::io_context context;
    asio::ip::udp::socket claimSocket { this->context };
    int firstPort = 0;
};

/** Returns a TCP port of the loopback address that no other test program uses and on which no process listens. */
inline std::uint16_t unusedPort()
{
    static const TestPortRange range;
    static int next = 0;
    asio::io_context context;
    for (int tries = 0; tries < TestPortRange::size; ++tries) {
        const auto port = static_cast<std::uint16_t>(range.first() + next++ % TestPortRange::size);
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
