#include "memoryledger.h"

#include <foundation/mechanism.h>

namespace Admission {

/**
 * @class MemoryLedger
 * Tracks the memory reservations at one engine. Memory is reserved before a request is dispatched. A reservation ends
 * only when the stream completes, when the engine acknowledges its cancellation, or when the engine restarts.
 */
MemoryLedger::MemoryLedger(std::int64_t capacityTokens)
    : capacity(capacityTokens)
{
}

void MemoryLedger::setCapacity(std::int64_t capacityTokens) { this->capacity = capacityTokens; }

bool MemoryLedger::reserve(std::string_view stream, std::int64_t tokens)
{
    const bool fits = tokens <= this->freeTokens() || !Foundation::isEnabled(Foundation::Mechanism::MemoryLedger);
    if (tokens < 0 || !fits || this->holds(stream))
        return false;
    this->reservations.emplace(stream, tokens);
    this->reserved += tokens;
    return true;
}

void MemoryLedger::adopt(std::string_view stream, std::int64_t tokens)
{
    if (this->holds(stream))
        return;
    this->reservations.emplace(stream, tokens);
    this->reserved += tokens;
}

bool MemoryLedger::release(std::string_view stream)
{
    const auto found = this->reservations.find(stream);
    if (found == this->reservations.end())
        return false;
    this->reserved -= found->second;
    this->reservations.erase(found);
    return true;
}

void MemoryLedger::clear()
{
    this->reservations.clear();
    this->reserved = 0;
}

bool MemoryLedger::holds(std::string_view stream) const
{
    return this->reservations.find(stream) != this->reservations.end();
}

std::vector<std::string> MemoryLedger::streams() const
{
    std::vector<std::string> identifiers;
    for (const auto& [stream, tokens] : this->reservations)
        identifiers.push_back(stream);
    return identifiers;
}

} // namespace Admission
