#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace Web {

class ConnectionReader;

/** The open connections of a server, by the numbers that the server gave them. Thread-safe. */
class ConnectionReaders {
public:
    void add(std::uint64_t connection, const std::shared_ptr<ConnectionReader>& reader);
    void remove(std::uint64_t connection);
    std::shared_ptr<ConnectionReader> find(std::uint64_t connection) const;
    std::size_t size() const;

    /**
     * Sets a handler that is called once, on any thread, after the next connection was closed.
     * @param maximum the handler is called at once if fewer connections are open.
     */
    void notifyOnClose(std::size_t maximum, std::function<void()> handler);

private:
    mutable std::mutex mutex;
    std::map<std::uint64_t, std::weak_ptr<ConnectionReader>> readers;
    std::function<void()> closeHandler;
};

} // namespace Web
