#include "staleloadchoice.h"

#include <algorithm>

namespace Placement {

namespace {

// The filled level is found by bisection. The error after this many steps is far below one request.
constexpr int bisectionSteps = 24;

// Returns how many requests an engine is given when all engines are filled up to a level.
double amountAt(const EngineLevel& engine, double level) { return std::clamp(level - engine.level, 0.0, engine.room); }

double totalAt(std::span<const EngineLevel> engines, double level)
{
    double total = 0;
    for (const EngineLevel& engine : engines)
        total += amountAt(engine, level);
    return total;
}

// Returns the lowest level at which the engines take an amount, or, if they cannot, the level at which all are full.
double filledLevel(std::span<const EngineLevel> engines, double amount)
{
    double low = 0;
    double high = 0;
    for (const EngineLevel& engine : engines)
        high = std::max(high, engine.level + engine.room);
    if (totalAt(engines, high) <= amount)
        return high;
    for (int i = 0; i < bisectionSteps; ++i) {
        const double middle = (low + high) / 2;
        (totalAt(engines, middle) < amount ? low : high) = middle;
    }
    return high;
}

} // namespace

std::optional<StaleLoadChoice> chooseByStaleLoad(std::span<const EngineLevel> engines, double unreported, double draw)
{
    const auto usable = std::ranges::count_if(engines, [](const EngineLevel& engine) { return engine.room > 0; });
    if (usable == 0)
        return std::nullopt;
    const double level = filledLevel(engines, unreported + 1 + static_cast<double>(usable));
    const double total = totalAt(engines, level);
    double left = draw * total;
    std::optional<StaleLoadChoice> chosen;
    for (std::size_t i = 0; i < engines.size() && (!chosen || left >= 0); ++i) {
        const double amount = amountAt(engines[i], level);
        if (amount <= 0)
            continue;
        chosen = { i, unreported * amount / total };
        left -= amount;
    }
    return chosen;
}

} // namespace Placement
