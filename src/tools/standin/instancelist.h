#pragma once

#include "faultswitches.h"
#include "standinrole.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <string>

namespace Standin {

/**
 * Simulates the platform's instance list, which tests set with PUT /instances.
 *
 * Faults: lagMs (a new list is served after this delay), outage (reads fail), empty (reads return no instance).
 */
class InstanceList final : public StandinRole {
public:
    explicit InstanceList(asio::io_context& context);

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange) override;

private:
    void replace(const std::string& list);

    asio::io_context& context;
    FaultSwitches faults;
    std::string servedList = R"({"instances":[]})";
};

} // namespace Standin
