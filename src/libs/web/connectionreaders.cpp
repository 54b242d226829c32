#include "connectionreaders.h"

#include <utility>

namespace Web {

void ConnectionReaders::add(std::uint64_t connection, const std::shared_ptr<ConnectionReader>& reader)
{
    const std::lock_guard lock(this->mutex);
    this->readers[connection] = reader;
}

void ConnectionReaders::remove(std::uint64_t connection)
{
    std::function<void()> handler;
    {
        const std::lock_guard lock(this->mutex);
        this->readers.erase(connection);
        handler = std::exchange(this->closeHandler, nullptr);
    }
    if (handler)
        handler();
}

std::shared_ptr<ConnectionReader> ConnectionReaders::find(std::uint64_t connection) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->readers.find(connection);
    return found == this->readers.end() ? nullptr : found->second.lock();
}

std::size_t ConnectionReaders::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->readers.size();
}

void ConnectionReaders::notifyOnClose(std::size_t maximum, std::function<void()> handler)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->readers.size() >= maximum) {
            this->closeHandler = std::move(handler);
            return;
        }
    }
    handler();
}

} // namespace Web
