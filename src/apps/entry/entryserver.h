#pragma once

#include "entrycore.h"

#include <web/httpserver.h>

#include <memory>

namespace Entry {

class EntryServer {
public:
    /** @param core must outlive the server. */
    explicit EntryServer(EntryCore& core);

    /** Handles one HTTP request; the reply may be sent after the call returns. */
    void handle(const std::shared_ptr<Web::HttpExchange>& exchange);

private:
    /** Handles the paths for health checks and metrics. Returns false if the path is none of them. */
    bool handleMonitoringPath(Web::HttpExchange& exchange);
    /** Handles the paths for operators, which require the process token. Returns false if the path is none of them. */
    bool handleOperatorPath(Web::HttpExchange& exchange);
    void listModels(Web::HttpExchange& exchange, const RoutingTable& table);
    /** Serves a caller's request. */
    void serve(const std::shared_ptr<Web::HttpExchange>& exchange);

    EntryCore& core;
};

} // namespace Entry
