#include "attempttable.h"

namespace Agent {

namespace {

constexpr Foundation::Duration endedAttemptRetention = std::chrono::seconds(60);
constexpr Foundation::Duration answerRetention = std::chrono::seconds(5);

} // namespace

/**
 * @class AttemptTable
 * Stores the attempts of an agent. Ended attempts are retained for a limited time with their outcome, so that an entry
 * that asks after a lost connection receives the actual outcome.
 */
AttemptTable::AttemptTable(const Foundation::Clock& clock)
    : clock(clock)
{
}

void AttemptTable::add(AttemptPtr attempt) { this->attempts[attempt->id()] = std::move(attempt); }

AttemptPtr AttemptTable::find(std::string_view attempt) const
{
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? nullptr : found->second;
}

EndedAttempt* AttemptTable::findEnded(std::string_view attempt)
{
    const auto found = this->endedAttempts.find(attempt);
    return found == this->endedAttempts.end() ? nullptr : &found->second;
}

void AttemptTable::end(std::string_view attempt, EndedAttempt ended)
{
    ended.endedAt = this->clock.now();
    const std::string id(attempt);
    this->attempts.erase(id);
    if (this->endedAttempts.insert_or_assign(id, std::move(ended)).second)
        this->endedOrder.push_back(id);
}

void AttemptTable::removeExpired()
{
    const Foundation::TimePoint now = this->clock.now();
    while (!this->endedOrder.empty()) {
        const auto oldest = this->endedAttempts.find(this->endedOrder.front());
        if (now - oldest->second.endedAt < endedAttemptRetention)
            break;
        this->endedAttempts.erase(oldest);
        this->endedOrder.pop_front();
    }
    for (auto& [id, ended] : this->endedAttempts) {
        if (ended.answeredAttempt && now - ended.endedAt >= answerRetention)
            ended.answeredAttempt.reset();
    }
}

std::vector<AttemptPtr> AttemptTable::all() const
{
    std::vector<AttemptPtr> list;
    list.reserve(this->attempts.size());
    for (const auto& [id, attempt] : this->attempts)
        list.push_back(attempt);
    return list;
}

} // namespace Agent
