#include "clientrefusal.h"

#include <foundation/logging.h>

#include <string>

namespace Web {

namespace {

constexpr auto logInterval = std::chrono::seconds(1);

struct RefusalEntry {
    ClientRefusal refusal;
    std::string_view name;
    std::string_view response;
};

#define BLUEBELL_REFUSAL(status) "HTTP/1.1 " status "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
#define BLUEBELL_RETRYABLE_REFUSAL(status)                                                                             \
    "HTTP/1.1 " status "\r\nContent-Length: 0\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"

constexpr auto entries = std::to_array<RefusalEntry>({
    { ClientRefusal::MalformedRequest, "MalformedRequest", BLUEBELL_REFUSAL("400 Bad Request") },
    { ClientRefusal::HeadTooLarge, "HeadTooLarge", BLUEBELL_REFUSAL("431 Request Header Fields Too Large") },
    { ClientRefusal::EmptyLines, "EmptyLines", BLUEBELL_REFUSAL("431 Request Header Fields Too Large") },
    { ClientRefusal::BodyTooLarge, "BodyTooLarge", BLUEBELL_REFUSAL("413 Content Too Large") },
    { ClientRefusal::ChunkHeadTooLarge, "ChunkHeadTooLarge", BLUEBELL_REFUSAL("413 Content Too Large") },
    { ClientRefusal::TrailersTooLarge, "TrailersTooLarge", BLUEBELL_REFUSAL("431 Request Header Fields Too Large") },
    { ClientRefusal::HeadTimeout, "HeadTimeout", BLUEBELL_REFUSAL("408 Request Timeout") },
    { ClientRefusal::BodyTimeout, "BodyTimeout", BLUEBELL_REFUSAL("408 Request Timeout") },
    { ClientRefusal::MemoryFull, "MemoryFull", BLUEBELL_RETRYABLE_REFUSAL("503 Service Unavailable") },
    { ClientRefusal::Evicted, "Evicted", BLUEBELL_RETRYABLE_REFUSAL("503 Service Unavailable") },
    { ClientRefusal::IdleConnection, "IdleConnection", "" },
});

#undef BLUEBELL_REFUSAL
#undef BLUEBELL_RETRYABLE_REFUSAL

const RefusalEntry& entryOf(ClientRefusal refusal) { return entries.at(static_cast<std::size_t>(refusal)); }

} // namespace

std::string_view refusalName(ClientRefusal refusal) { return entryOf(refusal).name; }

std::string_view refusalResponse(ClientRefusal refusal) { return entryOf(refusal).response; }

RefusalLog::RefusalLog(const Foundation::Clock& clock)
    : clock(clock)
{
}

void RefusalLog::add(ClientRefusal refusal, std::size_t heldBytes)
{
    using Foundation::Event;
    const std::lock_guard lock(this->mutex);
    Counter& counter = this->counters.at(static_cast<std::size_t>(refusal));
    ++counter.total;
    const Foundation::TimePoint now = this->clock.now();
    if (now < counter.nextLine)
        return;
    counter.nextLine = now + logInterval;
    const bool isMemory = refusal == ClientRefusal::MemoryFull || refusal == ClientRefusal::Evicted;
    Foundation::logEvent(isMemory ? Event::ReceiveMemoryFull : Event::ClientRefused, "",
        "reason=" + std::string(refusalName(refusal)) + " clients=" + std::to_string(counter.total - counter.logged)
            + " held_bytes=" + std::to_string(heldBytes));
    counter.logged = counter.total;
}

std::uint64_t RefusalLog::count(ClientRefusal refusal) const
{
    const std::lock_guard lock(this->mutex);
    return this->counters.at(static_cast<std::size_t>(refusal)).total;
}

} // namespace Web
