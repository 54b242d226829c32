#pragma once

#include "rawhttp.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** How an upstream ends a connection on which it has read a whole request. */
struct ConnectionEnding {
    /** What it writes before. */
    std::string written;
    /** Whether it resets the connection instead of closing it in order. */
    bool isReset = false;
    /** How long it works on the request before. */
    std::chrono::milliseconds delay { 0 };
};

/**
 * Stand-in for a faulty upstream on kept connections: before it answers a request, it writes a second copy of the last
 * answer on the same connection, or it ends connections in place of answers.
 */
class ConnectionFaultUpstream {
public:
    ConnectionFaultUpstream(asio::io_context& context, std::string id);

    /** Returns the entry that the upstream writes to the store. */
    std::string entry(const std::string& service) const;

    /** Whether it rejects requests as not run. */
    bool rejects = false;
    /** Whether it rejects requests with prefill helpers and names the first helper as the cause. */
    bool blamesHelpers = false;
    /** Whether its rejections carry the id of their request. Other answers always do. */
    bool namesRejectedRequest = false;
    /** Whether it writes second copies. */
    bool repeatsAnswers = true;
    /** Ends the connections of requests in place of answers; none if it answers. */
    std::optional<ConnectionEnding> ending;
    /** The Retry-After header of its rejections; none if empty. */
    std::string retryAfter;
    /** How long it works on a request before it answers. */
    std::chrono::milliseconds answerDelay { 0 };
    /** Closes connections that were idle for this time; never if 0. */
    std::chrono::milliseconds idleTime { 0 };
    /** The number of requests that it ran. */
    int runs = 0;
    /** The ids of the requests that it has read whole. */
    std::vector<std::string> requestIds;

private:
    struct Connection;

    void accept();
    void readRequest(const std::shared_ptr<Connection>& connection);
    void answer(const std::shared_ptr<Connection>& connection, const RawRequest& request);
    void write(const std::shared_ptr<Connection>& connection);
    static void end(const std::shared_ptr<Connection>& connection, const ConnectionEnding& ending);
    /** Closes a connection on which no request arrives for the idle time. */
    void watchIdle(const std::shared_ptr<Connection>& connection);
    std::string makeAnswer(const RawRequest& request);

    std::string id;
    asio::ip::tcp::acceptor acceptor;
};
