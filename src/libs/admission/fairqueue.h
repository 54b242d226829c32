#pragma once

#include "queuedrequest.h"

#include <array>
#include <list>
#include <map>
#include <vector>

namespace Admission {

class FairQueue {
public:
    void push(QueuedRequest request);

    /** Removes and returns the first request in scheduling order that the start function accepts, if any. */
    std::optional<QueuedRequest> startNext(Foundation::TimePoint now, const TryStartFunction& start);

    /** Removes the request of an attempt and returns whether it was queued. */
    bool remove(std::string_view attempt);

    /** Removes the requests that match the predicate and returns them. */
    std::vector<QueuedRequest> removeIf(const QueuedRequestPredicate& predicate);

    std::size_t size() const { return this->count; }

    /** Returns the prompt tokens of all queued requests that are served before a new request of this class. */
    std::int64_t tokensAhead(Configuration::LengthClass lengthClass) const;

private:
    struct AccountQueue {
        std::list<QueuedRequest> requests;
        double virtualTime = 0;
    };

    struct ClassQueue {
        std::map<std::string, AccountQueue, std::less<>> accounts;
        double virtualTime = 0;
        std::int64_t tokens = 0;
    };

    struct Head {
        ClassQueue* classQueue;
        AccountQueue* account;
        double rank;
    };

    std::vector<Head> headsByRank(Foundation::TimePoint now);
    QueuedRequest pop(const Head& head);
    static AccountQueue* nextAccount(ClassQueue& classQueue);
    ClassQueue& classQueueFor(Configuration::LengthClass lengthClass);

    std::array<ClassQueue, Configuration::lengthClassCount> classes;
    std::size_t count = 0;
};

static_assert(RequestQueue<FairQueue>);

} // namespace Admission
