#include "silencewatch.h"

#include <algorithm>
#include <utility>

namespace Quarantine {

namespace {

// Each watched attempt holds a connection. A process may have a few thousand of them open.
constexpr std::size_t maximumWatchedAttempts = 512;

template <typename Condition>
std::vector<WatchedAttempt> takeIf(std::map<std::uint64_t, WatchedAttempt>& attempts, Condition condition)
{
    std::vector<WatchedAttempt> taken;
    for (auto next = attempts.begin(); next != attempts.end();) {
        const auto current = next++;
        if (!condition(current->second))
            continue;
        taken.push_back(std::move(current->second));
        attempts.erase(current);
    }
    return taken;
}

} // namespace

bool SilenceWatch::add(WatchedAttempt attempt)
{
    if (this->attempts.size() >= maximumWatchedAttempts)
        return false;
    const std::uint64_t call = attempt.call;
    this->attempts.insert_or_assign(call, std::move(attempt));
    return true;
}

std::optional<WatchedAttempt> SilenceWatch::take(std::uint64_t call)
{
    const auto found = this->attempts.find(call);
    if (found == this->attempts.end())
        return std::nullopt;
    WatchedAttempt taken = std::move(found->second);
    this->attempts.erase(found);
    return taken;
}

void SilenceWatch::limit(std::uint64_t call, Foundation::TimePoint watchedUntil)
{
    const auto found = this->attempts.find(call);
    if (found != this->attempts.end())
        found->second.watchedUntil = std::min(found->second.watchedUntil, watchedUntil);
}

std::vector<WatchedAttempt> SilenceWatch::takeGeneration(std::string_view generation)
{
    return takeIf(
        this->attempts, [generation](const WatchedAttempt& attempt) { return attempt.generation == generation; });
}

std::vector<WatchedAttempt> SilenceWatch::takeOverdue(Foundation::TimePoint now)
{
    return takeIf(this->attempts, [now](const WatchedAttempt& attempt) { return now >= attempt.countsFrom; });
}

std::vector<WatchedAttempt> SilenceWatch::takeUndecided(Foundation::TimePoint now)
{
    return takeIf(this->attempts,
        [now](const WatchedAttempt& attempt) { return now >= attempt.watchedUntil && now < attempt.countsFrom; });
}

} // namespace Quarantine
