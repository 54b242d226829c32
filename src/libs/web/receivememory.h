#pragma once

#include "clientrefusal.h"

#include <foundation/clock.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>

namespace Web {

/**
 * The memory that a process has for requests from their first byte until they have ended. A request may hold as much
 * as is still free beside all others (the dynamic thresholds of Choudhury and Hahne). One that needs more evicts
 * requests that are still being received and that hold much without making progress; if there are none, it is refused
 * itself. A complete request is refused if what it will occupy does not fit beside all others, whatever its size. The
 * load: many clients at once that send large or endless requests and do not finish them, or more complete ones than
 * upstreams can serve. Thread-safe.
 */
class ReceiveMemory {
public:
    /** A request that holds no more than this is not refused for want of memory while it is received. */
    static constexpr std::size_t smallRequestBytes = 16 * 1024;
    /** A client that has sent this many bytes of a body has made progress. */
    static constexpr std::size_t progressBytes = 1024;

    struct Settings {
        /** The number of bytes for all requests together. */
        std::size_t capacity = 0;
        /** The maximum number of requests that are being received at the same time. */
        std::size_t maximumReceiving = 1024;
    };

    /** What one request holds. Gives it back when destroyed; may outlive the memory that it is a part of. */
    class Share {
    public:
        /** @param onEvicted called on any thread, while the memory is locked; must only post the refusal. */
        Share(const std::shared_ptr<ReceiveMemory>& memory, std::function<void()> onEvicted);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /**
         * Records how many bytes the request occupies from now on.
         * @return false if it was evicted, or if there is not enough memory; it then still holds what it held before.
         */
        bool resize(std::size_t bytes);

        /** Records that bytes of the request were received. */
        void addReceived(std::size_t bytes);

        /**
         * Records that the request was received completely, after which it is not evicted.
         * @param bytes what it occupies until it has ended.
         * @return why the request is refused; none if it is accepted.
         */
        std::optional<ClientRefusal> complete(std::size_t bytes);

    private:
        friend class ReceiveMemory;

        struct Entry;

        std::shared_ptr<ReceiveMemory> memory;
        std::list<Entry>::iterator entry;
    };

    /** @param clock must outlive the memory. */
    ReceiveMemory(const Settings& settings, const Foundation::Clock& clock);
    ~ReceiveMemory();

    void setSettings(const Settings& settings);

    /** Returns the number of bytes that all requests hold now. */
    std::size_t heldBytes() const;

    /** Returns the largest number of bytes that all requests have held at the same time. */
    std::size_t peakBytes() const;

    /** Returns the number of requests that are being received. */
    std::size_t receivingCount() const;

private:
    using Entries = std::list<Share::Entry>;

    bool canHold(const Share::Entry& entry, std::size_t bytes) const;
    bool makeRoom(Share::Entry& entry, std::size_t bytes);
    bool makeRoomForComplete(Share::Entry& entry, std::size_t bytes);
    Share::Entry* findVictim(const Share::Entry& requester, std::size_t bytes);
    Share::Entry* findMostIdle(const Share::Entry& requester);
    void evict(Share::Entry& entry);
    void set(Share::Entry& entry, std::size_t bytes);

    mutable std::mutex mutex;
    Settings settings;
    const Foundation::Clock& clock;
    Entries entries;
    std::size_t held = 0;
    std::size_t peak = 0;
    std::size_t receiving = 0;
};

struct ReceiveMemory::Share::Entry {
    std::function<void()> onEvicted;
    std::size_t bytes = 0;
    std::size_t receivedSinceProgress = 0;
    Foundation::TimePoint lastProgress {};
    bool isReceiving = false;
    bool isComplete = false;
    bool isEvicted = false;
};

} // namespace Web
