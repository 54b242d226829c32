#include "fairqueue.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace Admission {

namespace {

constexpr double ageingSecondsPerRank = 4;
constexpr double blockQueueAfterSeconds = 12;
constexpr double fixedCostTokens = 256;

double schedulingCost(const QueuedRequest& request)
{
    return (static_cast<double>(request.promptTokens) + fixedCostTokens) / request.accountWeight;
}

double secondsInQueue(const QueuedRequest& request, Foundation::TimePoint now)
{
    return Foundation::toSeconds(now - request.arrival);
}

// The rank decreases with the time in the queue (ageing), so that a steady flow of short requests cannot starve long
// ones.
double agedRank(const QueuedRequest& request, Foundation::TimePoint now)
{
    return static_cast<double>(request.lengthClass) - std::floor(secondsInQueue(request, now) / ageingSecondsPerRank);
}

} // namespace

/**
 * @class FairQueue
 * Schedules requests in three stages: length classes from short to long, with ageing; the client accounts of a class by
 * weighted fair queueing on prompt tokens; the requests of an account by deadline. A request that cannot start is
 * overtaken by others until it has waited for blockQueueAfterSeconds. From then on it blocks the requests behind it
 * until the resources that it needs are free.
 */
void FairQueue::push(QueuedRequest request)
{
    ClassQueue& classQueue = this->classQueueFor(request.lengthClass);
    AccountQueue& account = classQueue.accounts[request.account];
    if (account.requests.empty())
        account.virtualTime = std::max(account.virtualTime, classQueue.virtualTime);
    classQueue.tokens += request.promptTokens;
    ++this->count;
    const auto position = std::ranges::upper_bound(account.requests, request.deadline, {}, &QueuedRequest::deadline);
    account.requests.insert(position, std::move(request));
}

std::optional<QueuedRequest> FairQueue::startNext(Foundation::TimePoint now, const TryStartFunction& start)
{
    for (const Head& head : this->headsByRank(now)) {
        const QueuedRequest& request = head.account->requests.front();
        if (start(request))
            return this->pop(head);
        if (secondsInQueue(request, now) >= blockQueueAfterSeconds)
            return std::nullopt;
    }
    return std::nullopt;
}

bool FairQueue::remove(std::string_view attempt)
{
    return !this->removeIf([attempt](const QueuedRequest& request) { return request.attempt == attempt; }).empty();
}

std::vector<QueuedRequest> FairQueue::removeIf(const QueuedRequestPredicate& predicate)
{
    std::vector<QueuedRequest> removed;
    for (ClassQueue& classQueue : this->classes) {
        for (auto& [name, account] : classQueue.accounts) {
            std::ranges::copy_if(account.requests, std::back_inserter(removed), predicate);
            account.requests.remove_if(predicate);
        }
    }
    for (const QueuedRequest& request : removed)
        this->classQueueFor(request.lengthClass).tokens -= request.promptTokens;
    this->count -= removed.size();
    return removed;
}

std::int64_t FairQueue::tokensAhead(Configuration::LengthClass lengthClass) const
{
    std::int64_t tokens = 0;
    for (const Configuration::LengthClass other : Configuration::allLengthClasses) {
        if (other <= lengthClass)
            tokens += this->classes[static_cast<std::size_t>(other)].tokens;
    }
    return tokens;
}

std::vector<FairQueue::Head> FairQueue::headsByRank(Foundation::TimePoint now)
{
    std::vector<Head> heads;
    for (ClassQueue& classQueue : this->classes) {
        AccountQueue* const account = nextAccount(classQueue);
        if (account)
            heads.push_back({ &classQueue, account, agedRank(account->requests.front(), now) });
    }
    std::ranges::stable_sort(heads, {}, &Head::rank);
    return heads;
}

QueuedRequest FairQueue::pop(const Head& head)
{
    QueuedRequest request = std::move(head.account->requests.front());
    head.account->requests.pop_front();
    head.classQueue->virtualTime = head.account->virtualTime;
    head.account->virtualTime += schedulingCost(request);
    head.classQueue->tokens -= request.promptTokens;
    --this->count;
    if (head.classQueue->tokens == 0 && nextAccount(*head.classQueue) == nullptr) {
        head.classQueue->accounts.clear();
        head.classQueue->virtualTime = 0;
    }
    return request;
}

FairQueue::AccountQueue* FairQueue::nextAccount(ClassQueue& classQueue)
{
    AccountQueue* next = nullptr;
    for (auto& [name, account] : classQueue.accounts) {
        if (!account.requests.empty() && (!next || account.virtualTime < next->virtualTime))
            next = &account;
    }
    return next;
}

FairQueue::ClassQueue& FairQueue::classQueueFor(Configuration::LengthClass lengthClass)
{
    return this->classes[static_cast<std::size_t>(lengthClass)];
}

} // namespace Admission
