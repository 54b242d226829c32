#include "answermemory.h"

#include <algorithm>
#include <atomic>

namespace Relay {

struct AnswerMemory::Share::Pool {
    std::atomic<std::size_t> capacity { 0 };
    std::atomic<std::size_t> held { 0 };
};

AnswerMemory::Share::Share(const AnswerMemory& memory)
    : pool(memory.pool)
{
}

AnswerMemory::Share::~Share() { this->resize(0); }

void AnswerMemory::Share::resize(std::size_t newBytes)
{
    // Unsigned arithmetic wraps, so one addition also serves a smaller size.
    this->pool->held += newBytes - this->bytes;
    this->bytes = newBytes;
}

std::size_t AnswerMemory::Share::limit() const
{
    const std::size_t capacity = this->pool->capacity;
    const std::size_t others = this->pool->held - this->bytes;
    return (capacity - std::min(capacity, others)) / 2;
}

AnswerMemory::AnswerMemory(std::size_t capacity)
    : pool(std::make_shared<Share::Pool>())
{
    this->pool->capacity = capacity;
}

void AnswerMemory::setCapacity(std::size_t capacity) { this->pool->capacity = capacity; }

std::size_t AnswerMemory::heldBytes() const { return this->pool->held; }

} // namespace Relay
