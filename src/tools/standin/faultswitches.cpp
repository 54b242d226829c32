#include "faultswitches.h"

#include <charconv>

namespace Standin {

namespace {

constexpr int badRequest = 400;

} // namespace

bool FaultSwitches::handle(Web::HttpExchange& exchange)
{
    const Web::HttpRequest& request = exchange.request();
    if (request.path != "/faults")
        return false;
    if (request.method == "POST") {
        const auto values = nlohmann::json::parse(request.body(), nullptr, /* allow_exceptions */ false);
        if (!values.is_object()) {
            respondJson(exchange, { { "error", "the body must be a JSON object of integers" } }, badRequest);
            return true;
        }
        for (const auto& item : values.items())
            this->switches[item.key()] = item.value().is_number() ? item.value().get<std::int64_t>() : 0;
    }
    respondJson(exchange, this->switches);
    return true;
}

std::int64_t FaultSwitches::get(std::string_view name) const
{
    const auto found = this->switches.find(name);
    return found == this->switches.end() ? 0 : found->second;
}

bool FaultSwitches::consume(std::string_view name)
{
    const auto found = this->switches.find(name);
    if (found == this->switches.end() || found->second <= 0)
        return false;
    --found->second;
    return true;
}

void respondJson(Web::HttpExchange& exchange, const nlohmann::json& value, int status)
{
    exchange.respond(
        { status, "application/json", {}, value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) });
}

std::int64_t parseIntegerOr(std::string_view text, std::int64_t fallback)
{
    std::int64_t number = fallback;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size() ? number : fallback;
}

} // namespace Standin
