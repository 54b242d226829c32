#include "configuredqueue.h"

namespace Admission {

/**
 * @class ConfiguredQueue
 * Queues requests in the order that the environment document configures. The order can be changed at run time, so that
 * two orders can be compared in one experiment.
 */
void ConfiguredQueue::setPolicy(Configuration::QueuePolicy newPolicy)
{
    if (newPolicy == this->policy)
        return;
    this->policy = newPolicy;
    const std::vector<QueuedRequest> queuedRequests = this->removeIf([](const QueuedRequest&) { return true; });
    if (newPolicy == Configuration::QueuePolicy::Fair)
        this->queue.emplace<FairQueue>();
    else
        this->queue.emplace<FifoQueue>();
    for (const QueuedRequest& request : queuedRequests)
        this->push(request);
}

void ConfiguredQueue::push(QueuedRequest request)
{
    std::visit([&request](auto& order) { order.push(std::move(request)); }, this->queue);
}

std::optional<QueuedRequest> ConfiguredQueue::startNext(Foundation::TimePoint now, const TryStartFunction& start)
{
    return std::visit([&](auto& order) { return order.startNext(now, start); }, this->queue);
}

bool ConfiguredQueue::remove(std::string_view attempt)
{
    return std::visit([attempt](auto& order) { return order.remove(attempt); }, this->queue);
}

std::vector<QueuedRequest> ConfiguredQueue::removeIf(const QueuedRequestPredicate& predicate)
{
    return std::visit([&predicate](auto& order) { return order.removeIf(predicate); }, this->queue);
}

std::size_t ConfiguredQueue::size() const
{
    return std::visit([](const auto& order) { return order.size(); }, this->queue);
}

std::int64_t ConfiguredQueue::tokensAhead(Configuration::LengthClass lengthClass) const
{
    return std::visit([lengthClass](const auto& order) { return order.tokensAhead(lengthClass); }, this->queue);
}

} // namespace Admission
