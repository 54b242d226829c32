#pragma once

// What the engines of a case have in common: the figures of the users' sheet, and memory that orders set aside.

#include "fleet.h"

namespace review {

// Figures of the users' sheet.
constexpr double engineMemoryTokens = 405'000;
constexpr double prefillTokensPerMs = 154;
constexpr double pairsMsPerMillion = 0.162;
constexpr double stepMs = 1.31;
constexpr int stride = 34;

inline nlohmann::json makeEngineProfile()
{
    return { { "slots", 16 }, { "kv_capacity", engineMemoryTokens }, { "stride", stride }, { "step_ms", stepMs },
        { "per_seq_ms", 0.000917 }, { "context_per_k", 0.00213 }, { "read_per_s", prefillTokensPerMs * 1e3 },
        { "pairs_per_m", pairsMsPerMillion }, { "chunk", 2048 }, { "report_lag_ms", 200.0 },
        { "usual", { { "prompt", 11319 }, { "answer", 1266 } } } };
}

/** The time that a prompt takes to be read in even parts. */
inline Milliseconds prefillTime(double tokens, int parts)
{
    return Milliseconds(
        static_cast<int>((tokens / prefillTokensPerMs + tokens * tokens / 2 / 1e6 * pairsMsPerMillion) / parts));
}

inline Milliseconds eventInterval() { return Milliseconds(static_cast<int>(stride * stepMs)); }

/** The helpers that a request names, and the tickets among them. */
struct Helpers {
    explicit Helpers(const Message& request)
    {
        std::stringstream list(request.header("x-helpers"));
        for (std::string helper; std::getline(list, helper, ',');) {
            ++this->count;
            const std::size_t slash = helper.find('/');
            if (slash != std::string::npos)
                this->tickets.insert(helper.substr(slash + 1));
        }
    }

    int count = 0;
    std::set<std::string> tickets;
};

/** The memory that is set aside at all engines. */
class Memory {
public:
    explicit Memory(Record& record)
        : record(record)
    {
    }

    bool order(const std::string& engine, Connection& connection, const Message& request)
    {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        const std::string id = body.value("id", "");
        const std::lock_guard lock(this->mutex);
        this->expire();
        const auto ticket = std::pair(engine, id);
        if (body.value("operation", "") == "release") {
            if (this->tickets.erase(ticket) > 0)
                this->record.add("engine " + engine + " releases " + id);
            return connection.write(makeReply(200, "", "{}"));
        }
        if (body.value("operation", "") != "reserve")
            return connection.write(makeReply(400, "", "{}"));
        double reserved = 0;
        for (const auto& [other, held] : this->tickets)
            reserved += other.first == engine && other != ticket ? held.tokens : 0;
        const double tokens = body.value("token_count", 0.0);
        if (tokens > engineMemoryTokens)
            return connection.write(makeReply(400, "", "{}"));
        if (reserved + tokens > engineMemoryTokens)
            return connection.write(makeReply(409, "", "{}"));
        const bool isNew = !this->tickets.contains(ticket);
        this->tickets[ticket] = { tokens, Clock::now() + Milliseconds(body.value("hold_ms", 0)) };
        this->record.add("engine " + engine + (isNew ? " reserves " : " renews ") + id);
        return connection.write(makeReply(200, "", R"({"unallocated":1})"));
    }

    /** Returns the number of engines that hold a ticket of the list. */
    std::size_t count(const std::set<std::string>& ids)
    {
        const std::lock_guard lock(this->mutex);
        this->expire();
        std::size_t number = 0;
        for (const auto& [ticket, held] : this->tickets)
            number += ids.contains(ticket.second) ? 1 : 0;
        return number;
    }

private:
    struct Held {
        double tokens = 0;
        Clock::time_point expiresAt;
    };

    void expire()
    {
        for (auto next = this->tickets.begin(); next != this->tickets.end();) {
            const bool isOver = Clock::now() >= next->second.expiresAt;
            if (isOver)
                this->record.add("engine " + next->first.first + ": " + next->first.second + " expires");
            next = isOver ? this->tickets.erase(next) : std::next(next);
        }
    }

    Record& record;
    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, Held> tickets;
};

} // namespace review
