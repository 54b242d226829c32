#include "entryserver.h"

#include "callerreply.h"
#include "requestparser.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <nlohmann/json.hpp>

namespace Entry {

namespace {

using Foundation::ResultCode;
using Foundation::RunOutcome;

constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;
constexpr std::int64_t unavailableRetryAfterMs = 500;
constexpr std::size_t maximumRequestIdBytes = 128;

Web::HttpReply plainTextReply(int status, std::string text) { return { status, "text/plain", {}, std::move(text) }; }

// Returns the caller's request id if it is short and safe in headers and logs, and a new one otherwise.
std::string requestIdFor(const Web::HttpRequest& request)
{
    const std::string_view given = request.header("X-Request-Id");
    const bool isUsable = !given.empty() && given.size() <= maximumRequestIdBytes
        && given.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
            == std::string_view::npos;
    return isUsable ? std::string(given) : Foundation::makeIdentifier();
}

} // namespace

/**
 * @class EntryServer
 * The HTTP interface of an entry for callers, operators, health checks and metrics.
 */
EntryServer::EntryServer(EntryCore& core)
    : core(core)
{
}

void EntryServer::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    if (this->handleMonitoringPath(*exchange) || this->handleOperatorPath(*exchange))
        return;
    this->serve(exchange);
}

bool EntryServer::handleMonitoringPath(Web::HttpExchange& exchange)
{
    const std::string& path = exchange.request().path;
    if (path == "/healthz")
        exchange.respond(this->core.isShuttingDown() ? plainTextReply(unavailableStatus, "stopping\n")
                                                     : plainTextReply(okStatus, "ok\n"));
    else if (path == "/readyz")
        exchange.respond(this->core.isReady() ? plainTextReply(okStatus, "ready\n")
                                              : plainTextReply(unavailableStatus, "not ready\n"));
    else if (path == "/metrics")
        exchange.respond({ okStatus, "text/plain; version=0.0.4", {}, this->core.renderMetrics() });
    else
        return false;
    return true;
}

bool EntryServer::handleOperatorPath(Web::HttpExchange& exchange)
{
    const Web::HttpRequest& request = exchange.request();
    if (!request.path.starts_with("/operator/"))
        return false;
    if (request.header("X-Bluebell-Token") != this->core.entrySettings().process.token) {
        exchange.respond(errorReply({ ResultCode::WrongToken, RunOutcome::NotRun, 0, "" }, ""));
        return true;
    }
    if (request.path == "/operator/status") {
        exchange.respond({ okStatus, "application/json", {}, this->core.renderStatus() });
        return true;
    }
    const auto trace = this->core.proxyContext().traces.find(request.parameter("request"));
    if (request.path != "/operator/explain" || !trace) {
        exchange.respond(errorReply({ ResultCode::UnknownTarget, RunOutcome::NotRun, 0, "" }, ""));
        return true;
    }
    const nlohmann::json body = { { "request", trace->request },
        { "entry", this->core.entrySettings().process.instance }, { "steps", trace->steps } };
    exchange.respond({ okStatus, "application/json", {}, body.dump() });
    return true;
}

void EntryServer::listModels(Web::HttpExchange& exchange, const RoutingTable& table)
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, route] : table.models)
        list.push_back({ { "id", name }, { "object", "model" }, { "owned_by", table.document().environment } });
    const nlohmann::json body = { { "object", "list" }, { "data", list } };
    exchange.respond({ okStatus, "application/json", {}, body.dump() });
}

void EntryServer::serve(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const std::string id = requestIdFor(exchange->request());
    const auto refuse = [this, &exchange, &id](ResultCode code, std::int64_t retryAfterMs, const std::string& detail) {
        this->core.proxyContext().metrics.countRefusal(code);
        Foundation::logEvent(Foundation::Event::RequestRefused, id, Foundation::resultCodeEntry(code).name);
        exchange->respond(errorReply({ code, RunOutcome::NotRun, retryAfterMs, detail }, id));
    };
    if (this->core.isShuttingDown()) {
        refuse(ResultCode::ShuttingDown, unavailableRetryAfterMs, "");
        return;
    }
    const auto table = this->core.routingTable();
    if (!table->isComplete()) {
        refuse(ResultCode::NoConfiguration, unavailableRetryAfterMs, "");
        return;
    }
    if (exchange->request().path == "/v1/models" && findAccount(exchange->request(), *table)) {
        this->listModels(*exchange, *table);
        return;
    }
    auto parsed = parseRequest(exchange->request(), *table);
    if (!parsed) {
        refuse(parsed.error().code, 0, parsed.error().message);
        return;
    }
    parsed.value().id = id;
    Foundation::logEvent(Foundation::Event::RequestAccepted, id, parsed.value().target);
    std::make_shared<ProxiedRequest>(this->core.proxyContext(), exchange, std::move(parsed.value()))->start();
}

} // namespace Entry
