#pragma once

#include "runlog.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <string>

/**
 * Stand-in for an upstream in a process of its own, whose answers break off, fall silent or never end. The path of a
 * request says how it is answered, see AnswerFault. Each run is a line of the run log.
 */
class FaultyUpstream {
public:
    /** @param runLog the path of a file to which several upstreams append; marks of runs are kept beside it. */
    FaultyUpstream(asio::io_context& context, std::string id, std::uint16_t port, const std::string& runLog);

    void start();

private:
    /** A connection on which requests are answered one after the other. */
    class Connection;

    void accept();

    std::string id;
    std::string runLogPath;
    RunLog runLog;
    asio::ip::tcp::acceptor acceptor;
};
