#pragma once

#include "faultswitches.h"
#include "standinrole.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace Standin {

/**
 * Simulates a booking application. Each POST request is an execution that must not happen twice for one idempotency
 * key; the executions are listed at /runs.
 *
 * Faults: slowMs (additional time of an execution), loseAnswers (the next N executions take effect, but their
 * connections are closed without an answer), leaving (the status reports that the service is draining).
 */
class BookingService final : public StandinRole {
public:
    /** @param serviceTime how long the execution of a POST request takes. */
    BookingService(asio::io_context& context, std::chrono::milliseconds serviceTime);

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange) override;

private:
    struct Execution {
        std::string key;
        std::string request;
        std::string path;
    };

    void execute(const std::shared_ptr<Web::HttpExchange>& exchange);
    void respondExecutions(Web::HttpExchange& exchange) const;

    asio::io_context& context;
    std::chrono::milliseconds serviceTime;
    std::string generation;
    FaultSwitches faults;
    std::vector<Execution> executions;
};

} // namespace Standin
