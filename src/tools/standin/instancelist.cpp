#include "instancelist.h"

namespace Standin {

namespace {

constexpr int notFound = 404;

} // namespace

InstanceList::InstanceList(asio::io_context& context)
    : context(context)
{
}

void InstanceList::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    if (this->faults.handle(*exchange))
        return;
    if (request.path != "/instances") {
        respondJson(*exchange, { { "error", "unknown path" } }, notFound);
    } else if (request.method == "PUT") {
        this->replace(request.body());
        respondJson(*exchange, nlohmann::json::object());
    } else if (this->faults.get("outage") != 0) {
        exchange->abort();
    } else if (this->faults.get("empty") != 0) {
        exchange->respond({ 200, "application/json", {}, R"({"instances":[]})" });
    } else {
        exchange->respond({ 200, "application/json", {}, this->servedList });
    }
}

void InstanceList::replace(const std::string& list)
{
    const std::int64_t lagMs = this->faults.get("lagMs");
    if (lagMs == 0) {
        this->servedList = list;
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->context, std::chrono::milliseconds(lagMs));
    timer->async_wait([this, timer, list](const std::error_code&) { this->servedList = list; });
}

} // namespace Standin
