#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Admission {

class MemoryLedger {
public:
    /** @param capacityTokens the memory of the engine, in tokens. */
    explicit MemoryLedger(std::int64_t capacityTokens);

    /** Changes the capacity. Existing reservations stay, even if they exceed the new capacity. */
    void setCapacity(std::int64_t capacityTokens);

    /**
     * Reserves memory for a stream and returns whether it did. Refuses a negative number of tokens, a stream that
     * already has a reservation, and more than freeTokens() unless Foundation::Mechanism::MemoryLedger is disabled.
     */
    bool reserve(std::string_view stream, std::int64_t tokens);

    /**
     * Adds a reservation for a stream that the engine reports and that no attempt owns. It counts until its
     * cancellation is acknowledged, even beyond the capacity.
     * @param tokens the number of tokens that the engine reports for the stream.
     */
    void adopt(std::string_view stream, std::int64_t tokens);

    /**
     * Releases the reservation of a stream that has completed or whose cancellation was acknowledged. Returns whether
     * there was one.
     */
    bool release(std::string_view stream);

    /** Drops all reservations after a restart of the engine, which frees its memory. */
    void clear();

    /** Returns whether a stream has a reservation. */
    bool holds(std::string_view stream) const;

    /** Returns the identifiers of all streams with a reservation. */
    std::vector<std::string> streams() const;

    std::int64_t reservedTokens() const { return this->reserved; }
    std::int64_t freeTokens() const { return this->capacity - this->reserved; }
    std::int64_t capacityTokens() const { return this->capacity; }

private:
    std::int64_t capacity;
    std::int64_t reserved = 0;
    std::map<std::string, std::int64_t, std::less<>> reservations;
};

} // namespace Admission
