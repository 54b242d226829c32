#pragma once

#include "rawhttp.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>

/**
 * Stand-in for a faulty upstream on kept connections: before it answers a request, it writes a second copy of the last
 * answer on the same connection.
 */
class RepeatingUpstream {
public:
    RepeatingUpstream(asio::io_context& context, std::string id);

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
    /** The number of requests that it ran. */
    int runs = 0;

private:
    struct Connection;

    void accept();
    void readRequest(const std::shared_ptr<Connection>& connection);
    void answer(const std::shared_ptr<Connection>& connection, const RawRequest& request);
    std::string makeAnswer(const RawRequest& request);

    std::string id;
    asio::ip::tcp::acceptor acceptor;
};
