#pragma once

#include <asio.hpp>

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace Proof {

/** Forwards TCP connections to one agent, so that a test can close or pause them. Runs on a thread of its own. */
class TcpProxy {
public:
    /** Forwards connections from one port of the loopback interface to another. */
    TcpProxy(int listenPort, int targetPort);
    ~TcpProxy();

    /** Closes all connections; accepts new ones. */
    void closeConnections();

    /** Stops forwarding in both directions until resume(). */
    void pause();
    void resume();

private:
    class Connection;

    void accept();

    asio::io_context context { 1 };
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint target;
    std::set<std::shared_ptr<Connection>> connections;
    bool isPaused = false;
    std::thread thread;
};

} // namespace Proof
