#include "weightstore.h"

namespace Standin {

namespace {

constexpr int tooManyRequests = 429;

} // namespace

WeightStore::WeightStore(std::int64_t pullsPerSecond)
    : pullsPerSecond(pullsPerSecond)
{
}

void WeightStore::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    if (this->faults.handle(*exchange))
        return;
    if (exchange->request().path == "/counters") {
        respondJson(*exchange, { { "pulls", this->acceptedPulls }, { "refused", this->refusedPulls } });
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - this->rateWindowStart >= std::chrono::seconds(1)) {
        this->rateWindowStart = now;
        this->pullsInWindow = 0;
    }
    if (++this->pullsInWindow > this->pullsPerSecond) {
        ++this->refusedPulls;
        respondJson(*exchange, { { "error", "too many pulls" } }, tooManyRequests);
        return;
    }
    ++this->acceptedPulls;
    respondJson(*exchange, { { "weights", exchange->request().path } });
}

} // namespace Standin
