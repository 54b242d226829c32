#include "requesttrace.h"

namespace Entry {

namespace {

constexpr std::size_t maximumTraceCount = 4096;

} // namespace

/**
 * @class RequestTraces
 * The traces of the last requests that ended at this entry. The oldest trace is evicted when the limit is exceeded.
 */
void RequestTraces::add(RequestTrace trace)
{
    const std::lock_guard lock(this->mutex);
    this->insertionOrder.push_back(trace.request);
    const std::string key = trace.request;
    this->traces.insert_or_assign(key, std::move(trace));
    if (this->insertionOrder.size() <= maximumTraceCount)
        return;
    this->traces.erase(this->insertionOrder.front());
    this->insertionOrder.pop_front();
}

std::optional<RequestTrace> RequestTraces::find(std::string_view request) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->traces.find(request);
    if (found == this->traces.end())
        return std::nullopt;
    return found->second;
}

} // namespace Entry
