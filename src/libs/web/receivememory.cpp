#include "receivememory.h"

#include <algorithm>
#include <utility>

namespace Web {

namespace {

// A client that has sent something this recently makes progress. The process itself may have been held up for some
// tenths of a second, in which it has read from no client.
constexpr auto recentProgress = std::chrono::milliseconds(500);

} // namespace

ReceiveMemory::Share::Share(const std::shared_ptr<ReceiveMemory>& memory, std::function<void()> onEvicted)
    : memory(memory)
{
    const std::lock_guard lock(memory->mutex);
    this->entry = memory->entries.insert(memory->entries.end(), Entry { std::move(onEvicted) });
    this->entry->lastProgress = memory->clock.now();
}

ReceiveMemory::Share::~Share()
{
    const std::lock_guard lock(this->memory->mutex);
    this->memory->set(*this->entry, 0);
    this->memory->entries.erase(this->entry);
}

bool ReceiveMemory::Share::resize(std::size_t bytes)
{
    const std::lock_guard lock(this->memory->mutex);
    if (this->entry->isEvicted)
        return false;
    if (bytes > this->entry->bytes && !this->memory->makeRoom(*this->entry, bytes))
        return false;
    this->memory->set(*this->entry, bytes);
    return true;
}

void ReceiveMemory::Share::addReceived(std::size_t bytes)
{
    const std::lock_guard lock(this->memory->mutex);
    this->entry->receivedSinceProgress += bytes;
    if (this->entry->receivedSinceProgress < progressBytes)
        return;
    this->entry->receivedSinceProgress = 0;
    this->entry->lastProgress = this->memory->clock.now();
}

std::optional<ClientRefusal> ReceiveMemory::Share::complete(std::size_t bytes)
{
    const std::lock_guard lock(this->memory->mutex);
    if (this->entry->isEvicted)
        return ClientRefusal::Evicted;
    if (!this->memory->makeRoomForComplete(*this->entry, bytes))
        return ClientRefusal::MemoryFull;
    this->entry->isComplete = true;
    this->memory->set(*this->entry, bytes);
    return std::nullopt;
}

ReceiveMemory::ReceiveMemory(const Settings& settings, const Foundation::Clock& clock)
    : settings(settings)
    , clock(clock)
{
}

ReceiveMemory::~ReceiveMemory() = default;

void ReceiveMemory::setSettings(const Settings& newSettings)
{
    const std::lock_guard lock(this->mutex);
    this->settings = newSettings;
}

std::size_t ReceiveMemory::heldBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->held;
}

std::size_t ReceiveMemory::peakBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->peak;
}

std::size_t ReceiveMemory::receivingCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->receiving;
}

bool ReceiveMemory::canHold(const Share::Entry& entry, std::size_t bytes) const
{
    if (bytes <= smallRequestBytes)
        return true;
    const std::size_t others = this->held - entry.bytes;
    return bytes <= (this->settings.capacity - std::min(this->settings.capacity, others)) / 2;
}

bool ReceiveMemory::makeRoom(Share::Entry& entry, std::size_t bytes)
{
    if (!entry.isReceiving && !entry.isComplete && this->receiving >= this->settings.maximumReceiving) {
        if (Share::Entry* const victim = this->findMostIdle(entry))
            this->evict(*victim);
    }
    while (!this->canHold(entry, bytes)) {
        Share::Entry* const victim = this->findVictim(entry, bytes);
        if (!victim)
            return false;
        this->evict(*victim);
    }
    return true;
}

bool ReceiveMemory::makeRoomForComplete(Share::Entry& entry, std::size_t bytes)
{
    while (this->held - entry.bytes > this->settings.capacity - std::min(this->settings.capacity, bytes)) {
        Share::Entry* const victim = this->findVictim(entry, bytes);
        if (!victim)
            return false;
        this->evict(*victim);
    }
    return true;
}

ReceiveMemory::Share::Entry* ReceiveMemory::findVictim(const Share::Entry& requester, std::size_t bytes)
{
    const Foundation::TimePoint now = this->clock.now();
    Share::Entry* victim = nullptr;
    double highest = 0;
    for (Share::Entry& entry : this->entries) {
        if (&entry == &requester || !entry.isReceiving)
            continue;
        const Foundation::Duration idle = now - entry.lastProgress;
        // A request that makes progress only gives way to a smaller one.
        if (idle < recentProgress && entry.bytes <= bytes)
            continue;
        const double weight = static_cast<double>(entry.bytes) * Foundation::toSeconds(idle + recentProgress);
        if (weight > highest) {
            highest = weight;
            victim = &entry;
        }
    }
    return victim;
}

ReceiveMemory::Share::Entry* ReceiveMemory::findMostIdle(const Share::Entry& requester)
{
    Share::Entry* mostIdle = nullptr;
    for (Share::Entry& entry : this->entries) {
        if (&entry == &requester || !entry.isReceiving)
            continue;
        if (!mostIdle || entry.lastProgress < mostIdle->lastProgress)
            mostIdle = &entry;
    }
    return mostIdle;
}

// The bytes are subtracted at once, since the memory is freed before the event loop reads more.
void ReceiveMemory::evict(Share::Entry& entry)
{
    this->set(entry, 0);
    entry.isEvicted = true;
    entry.onEvicted();
}

void ReceiveMemory::set(Share::Entry& entry, std::size_t bytes)
{
    // Unsigned arithmetic wraps, so one addition also serves a smaller size.
    this->held += bytes - entry.bytes;
    this->peak = std::max(this->peak, this->held);
    entry.bytes = bytes;
    const bool isReceiving = bytes > 0 && !entry.isComplete;
    if (isReceiving != entry.isReceiving)
        this->receiving += isReceiving ? 1 : std::size_t(-1);
    entry.isReceiving = isReceiving;
}

} // namespace Web
