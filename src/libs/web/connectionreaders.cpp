#include "connectionreaders.h"

#include "connectionreader.h"

#include <utility>

namespace Web {

void ConnectionReaders::add(std::uint64_t connection, const std::shared_ptr<ConnectionReader>& reader)
{
    const std::lock_guard lock(this->mutex);
    this->entries[connection].reader = reader;
}

void ConnectionReaders::remove(std::uint64_t connection)
{
    std::function<void()> handler;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->entries.find(connection);
        if (found == this->entries.end())
            return;
        this->leaveIdleOrder(found->second);
        this->entries.erase(found);
        handler = std::exchange(this->changeHandler, nullptr);
    }
    if (handler)
        handler();
}

std::shared_ptr<ConnectionReader> ConnectionReaders::find(std::uint64_t connection) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(connection);
    return found == this->entries.end() ? nullptr : found->second.reader.lock();
}

std::size_t ConnectionReaders::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->entries.size();
}

void ConnectionReaders::setIdle(std::uint64_t connection, bool isIdle)
{
    std::function<void()> handler;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->entries.find(connection);
        if (found == this->entries.end())
            return;
        this->leaveIdleOrder(found->second);
        if (!isIdle)
            return;
        found->second.idlePlace = this->idleOrder.insert(this->idleOrder.end(), connection);
        handler = std::exchange(this->changeHandler, nullptr);
    }
    if (handler)
        handler();
}

void ConnectionReaders::closeLongestIdle(std::size_t maximum)
{
    std::shared_ptr<ConnectionReader> reader;
    {
        const std::lock_guard lock(this->mutex);
        if (this->entries.size() - this->askedToClose <= maximum || this->idleOrder.empty())
            return;
        Entry& entry = this->entries.at(this->idleOrder.front());
        this->leaveIdleOrder(entry);
        entry.isAskedToClose = true;
        ++this->askedToClose;
        reader = entry.reader.lock();
    }
    if (reader)
        reader->closeIfIdle();
}

void ConnectionReaders::notifyOnChange(std::size_t maximum, std::function<void()> handler)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->entries.size() >= maximum) {
            this->changeHandler = std::move(handler);
            return;
        }
    }
    handler();
}

void ConnectionReaders::leaveIdleOrder(Entry& entry)
{
    if (entry.idlePlace)
        this->idleOrder.erase(*std::exchange(entry.idlePlace, std::nullopt));
    if (std::exchange(entry.isAskedToClose, false))
        --this->askedToClose;
}

} // namespace Web
