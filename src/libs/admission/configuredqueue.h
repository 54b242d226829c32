#pragma once

#include "fairqueue.h"
#include "fifoqueue.h"

#include <configuration/environmentdocument.h>

#include <variant>

namespace Admission {

class ConfiguredQueue {
public:
    /** Changes the order. Queued requests are kept. */
    void setPolicy(Configuration::QueuePolicy policy);

    void push(QueuedRequest request);
    std::optional<QueuedRequest> startNext(Foundation::TimePoint now, const TryStartFunction& start);
    bool remove(std::string_view attempt);
    std::vector<QueuedRequest> removeIf(const QueuedRequestPredicate& predicate);
    std::size_t size() const;
    std::int64_t tokensAhead(Configuration::LengthClass lengthClass) const;

private:
    Configuration::QueuePolicy policy = Configuration::QueuePolicy::Fair;
    std::variant<FairQueue, FifoQueue> queue;
};

static_assert(RequestQueue<ConfiguredQueue>);

} // namespace Admission
