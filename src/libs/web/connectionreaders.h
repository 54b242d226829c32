#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace Web {

class ConnectionReader;

/**
 * The open connections of a server, by the numbers that the server gave them. When the server is full, the connection
 * that has been idle for longest gives way to a new caller. The load: clients that keep many connections open and send
 * nothing on them. Thread-safe.
 */
class ConnectionReaders {
public:
    /** Adds a connection, which is not idle yet. */
    void add(std::uint64_t connection, const std::shared_ptr<ConnectionReader>& reader);
    void remove(std::uint64_t connection);
    std::shared_ptr<ConnectionReader> find(std::uint64_t connection) const;
    std::size_t size() const;

    /** Records whether a connection waits for a request now; every idle one has been idle since the last call. */
    void setIdle(std::uint64_t connection, bool isIdle);

    /**
     * Asks the connection that has been idle for longest to close.
     * @param maximum no connection is asked if no more than these are open, without those that were asked already.
     */
    void closeLongestIdle(std::size_t maximum);

    /**
     * Sets a handler that is called once, on any thread, after the next connection was closed or has become idle.
     * @param maximum the handler is called at once if fewer connections are open.
     */
    void notifyOnChange(std::size_t maximum, std::function<void()> handler);

private:
    struct Entry {
        std::weak_ptr<ConnectionReader> reader;
        /** The place in the order of the idle connections; none if it is not idle or was asked to close. */
        std::optional<std::list<std::uint64_t>::iterator> idlePlace;
        bool isAskedToClose = false;
    };

    void leaveIdleOrder(Entry& entry);

    mutable std::mutex mutex;
    std::map<std::uint64_t, Entry> entries;
    /** The idle connections; the first has been idle for longest. */
    std::list<std::uint64_t> idleOrder;
    std::size_t askedToClose = 0;
    std::function<void()> changeHandler;
};

} // namespace Web
