#pragma once

#include "rawhttp.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/** How a stand-in upstream ends the connection of a request that it has read. */
struct ConnectionEnding {
    /** What it writes before the end. */
    std::string written;
    /** How long after that the connection ends. */
    std::chrono::milliseconds delay { 0 };
    /** Whether the connection is reset, and not closed in order. */
    bool isReset = false;
};

/** Stand-in for an upstream that keeps connections and ends them, either after a request or as idle. */
class DisconnectingUpstream {
public:
    DisconnectingUpstream(asio::io_context& context, std::string id);

    /** Returns the entry that the upstream writes to the store. */
    std::string entry(const std::string& service) const;

    /** How it ends the connections of requests; it answers them if there is none. */
    std::optional<ConnectionEnding> ending;
    /** Whether only connections that have carried an earlier request are ended. */
    bool endsUsedOnly = false;
    /** After so long without a request, a connection is closed as idle; never if 0. */
    std::chrono::microseconds idleTimeout { 0 };
    /** How long an answer takes. */
    std::chrono::milliseconds work { 0 };
    /** Whether it runs requests, but sends no answers. */
    bool losesAnswers = false;
    /** When it last received an order that reserves memory, renewals included. */
    std::chrono::steady_clock::time_point lastReservedAt {};
    /** The Retry-After header of its rejections; it answers requests if empty. */
    std::string pause;
    /** The requests that it has read, status checks and orders not included. */
    std::vector<RawRequest> requests;
    int connectionCount = 0;

private:
    struct Connection;

    void accept();
    void readRequest(const std::shared_ptr<Connection>& connection);
    void handle(const std::shared_ptr<Connection>& connection, const RawRequest& request);
    void answer(const std::shared_ptr<Connection>& connection, std::string answer);
    void end(const std::shared_ptr<Connection>& connection, const ConnectionEnding& how);
    std::string makeAnswer(const RawRequest& request) const;

    std::string id;
    asio::ip::tcp::acceptor acceptor;
};
