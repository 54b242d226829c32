#pragma once

#include "runlog.h"

#include <web/httpserver.h>

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>

/**
 * The memory that a stand-in engine has reserved by orders. Each order, and each reservation that ends because it was
 * not renewed, is a line of the run log.
 */
class EngineLeases {
public:
    EngineLeases(asio::io_context& context, const RunLog& runLog);

    /** Executes a reserve or release order. */
    void handleOrder(Web::HttpExchange& exchange);

private:
    void reserve(const std::string& lease, std::chrono::milliseconds duration);

    asio::io_context& context;
    const RunLog& runLog;
    /** The times at which the leases expire, by name. */
    std::map<std::string, std::unique_ptr<asio::steady_timer>> expiryTimers;
};
