#pragma once

#include <configuration/lengthclass.h>
#include <foundation/clock.h>

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Admission {

/** A request in the queue of the agent. */
struct QueuedRequest {
    std::string attempt;
    std::string account;
    double accountWeight = 1;
    Configuration::LengthClass lengthClass = Configuration::LengthClass::Short;
    std::int64_t promptTokens = 0;
    std::int64_t memoryTokens = 0;
    Foundation::TimePoint arrival;
    Foundation::TimePoint deadline;
};

/** Tries to reserve the resources that a queued request needs to start; returns whether they were reserved. */
using TryStartFunction = std::function<bool(const QueuedRequest&)>;

using QueuedRequestPredicate = std::function<bool(const QueuedRequest&)>;

/** Requirements of a queue that decides in which order requests are started. */
template <typename T>
concept RequestQueue
    = requires(T queue, const T& constQueue, QueuedRequest request, std::string_view attempt, Foundation::TimePoint now,
        const TryStartFunction& start, const QueuedRequestPredicate& predicate, Configuration::LengthClass lengthClass)
{
    queue.push(request);
    {
        queue.startNext(now, start)
        } -> std::same_as<std::optional<QueuedRequest>>;
    {
        queue.remove(attempt)
        } -> std::same_as<bool>;
    {
        queue.removeIf(predicate)
        } -> std::same_as<std::vector<QueuedRequest>>;
    {
        constQueue.size()
        } -> std::convertible_to<std::size_t>;
    {
        constQueue.tokensAhead(lengthClass)
        } -> std::same_as<std::int64_t>;
};

} // namespace Admission
