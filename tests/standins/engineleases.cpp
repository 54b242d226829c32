#include "engineleases.h"

#include <nlohmann/json.hpp>

namespace {

Web::HttpReply makeOrderReply(int status) { return { status, "application/json", {}, R"({"unallocated":0})", false }; }

} // namespace

EngineLeases::EngineLeases(asio::io_context& context, const RunLog& runLog)
    : context(context)
    , runLog(runLog)
{
}

void EngineLeases::handleOrder(Web::HttpExchange& exchange)
{
    const nlohmann::json order
        = nlohmann::json::parse(exchange.request().body(), nullptr, /* allow_exceptions */ false);
    if (!order.is_object() || !order.contains("operation") || !order.contains("id")) {
        exchange.respond(makeOrderReply(400));
        return;
    }
    const auto lease = order["id"].get<std::string>();
    if (order["operation"] == "reserve") {
        this->reserve(lease, std::chrono::milliseconds(order["hold_ms"].get<std::int64_t>()));
    } else if (order["operation"] == "release") {
        if (this->expiryTimers.erase(lease) > 0)
            this->runLog.write("release", lease);
    }
    exchange.respond(makeOrderReply(200));
}

void EngineLeases::reserve(const std::string& lease, std::chrono::milliseconds duration)
{
    this->runLog.write("reserve", lease);
    auto timer = std::make_unique<asio::steady_timer>(this->context, duration);
    timer->async_wait([this, lease](const asio::error_code& error) {
        if (error)
            return;
        this->runLog.write("expire", lease);
        this->expiryTimers.erase(lease);
    });
    this->expiryTimers[lease] = std::move(timer);
}
