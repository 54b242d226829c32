#include "bookingservice.h"

#include <foundation/identifier.h>

namespace Standin {

namespace {

constexpr int notFound = 404;
constexpr int created = 201;

} // namespace

BookingService::BookingService(asio::io_context& context, std::chrono::milliseconds serviceTime)
    : context(context)
    , serviceTime(serviceTime)
    , generation(Foundation::makeIdentifier())
{
}

void BookingService::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    if (this->faults.handle(*exchange))
        return;
    if (request.path == "/v1/status")
        respondJson(*exchange, { { "generation", this->generation }, { "leaving", this->faults.get("leaving") != 0 } });
    else if (request.path == "/runs")
        this->respondExecutions(*exchange);
    else if (request.method == "POST")
        this->execute(exchange);
    else if (request.path.starts_with("/slots"))
        respondJson(*exchange, { { "slots", { "morning", "noon", "evening" } }, { "query", request.query } });
    else
        respondJson(*exchange, { { "error", "unknown path" } }, notFound);
}

void BookingService::execute(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    this->executions.push_back(
        { std::string(request.header("Idempotency-Key")), std::string(request.header("X-Request-Id")), request.path });
    const std::size_t number = this->executions.size();
    const auto delay = this->serviceTime + std::chrono::milliseconds(this->faults.get("slowMs"));
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([this, timer, exchange, number](const std::error_code&) {
        if (this->faults.consume("loseAnswers")) {
            exchange->abort();
            return;
        }
        respondJson(*exchange,
            { { "booking", this->generation + "-" + std::to_string(number) },
                { "key", exchange->request().header("Idempotency-Key") } },
            created);
    });
}

void BookingService::respondExecutions(Web::HttpExchange& exchange) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Execution& execution : this->executions)
        list.push_back({ { "key", execution.key }, { "request", execution.request }, { "path", execution.path } });
    respondJson(exchange, { { "runs", list } });
}

} // namespace Standin
