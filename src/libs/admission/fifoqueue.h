#pragma once

#include "queuedrequest.h"

#include <deque>

namespace Admission {

class FifoQueue {
public:
    void push(QueuedRequest request);

    /** Removes and returns the oldest request if the start function accepts it, else returns nothing. */
    std::optional<QueuedRequest> startNext(Foundation::TimePoint now, const TryStartFunction& start);

    /** Removes the request of an attempt and returns whether it was queued. */
    bool remove(std::string_view attempt);

    /** Removes the requests that match the predicate and returns them. */
    std::vector<QueuedRequest> removeIf(const QueuedRequestPredicate& predicate);

    std::size_t size() const { return this->requests.size(); }

    /** Returns the prompt tokens of all queued requests, whatever the class of the new request. */
    std::int64_t tokensAhead(Configuration::LengthClass lengthClass) const;

private:
    std::deque<QueuedRequest> requests;
};

static_assert(RequestQueue<FifoQueue>);

} // namespace Admission
