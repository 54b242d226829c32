#include "fifoqueue.h"

#include <algorithm>

namespace Admission {

/**
 * @class FifoQueue
 * Serves requests in the order of their arrival. It is the baseline to which FairQueue is compared.
 */
void FifoQueue::push(QueuedRequest request) { this->requests.push_back(std::move(request)); }

std::optional<QueuedRequest> FifoQueue::startNext(Foundation::TimePoint, const TryStartFunction& start)
{
    if (this->requests.empty() || !start(this->requests.front()))
        return std::nullopt;
    QueuedRequest request = std::move(this->requests.front());
    this->requests.pop_front();
    return request;
}

bool FifoQueue::remove(std::string_view attempt)
{
    const auto found = std::ranges::find(this->requests, attempt, &QueuedRequest::attempt);
    if (found == this->requests.end())
        return false;
    this->requests.erase(found);
    return true;
}

std::vector<QueuedRequest> FifoQueue::removeIf(const QueuedRequestPredicate& predicate)
{
    std::vector<QueuedRequest> removed;
    std::ranges::copy_if(this->requests, std::back_inserter(removed), predicate);
    std::erase_if(this->requests, predicate);
    return removed;
}

std::int64_t FifoQueue::tokensAhead(Configuration::LengthClass) const
{
    std::int64_t tokens = 0;
    for (const QueuedRequest& request : this->requests)
        tokens += request.promptTokens;
    return tokens;
}

} // namespace Admission
