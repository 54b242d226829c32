#pragma once

#include <foundation/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

namespace Web {

/** Why a client was refused before its request was handed over. */
enum class ClientRefusal : std::uint8_t {
    MalformedRequest,
    HeadTooLarge,
    EmptyLines,
    BodyTooLarge,
    ChunkHeadTooLarge,
    TrailersTooLarge,
    HeadTimeout,
    BodyTimeout,
    MemoryFull,
    Evicted,
    /** The connection was idle and another caller needed its place. */
    IdleConnection,
};

constexpr auto allClientRefusals = std::to_array<ClientRefusal>({ ClientRefusal::MalformedRequest,
    ClientRefusal::HeadTooLarge, ClientRefusal::EmptyLines, ClientRefusal::BodyTooLarge,
    ClientRefusal::ChunkHeadTooLarge, ClientRefusal::TrailersTooLarge, ClientRefusal::HeadTimeout,
    ClientRefusal::BodyTimeout, ClientRefusal::MemoryFull, ClientRefusal::Evicted, ClientRefusal::IdleConnection });

/** Returns the name of a kind of refusal, as logged and as label of the counter. */
std::string_view refusalName(ClientRefusal refusal);

/** Returns the whole response, after which the connection is closed; empty if there is no request to respond to. */
std::string_view refusalResponse(ClientRefusal refusal);

/** Counts refused clients and logs at most one event a second for each kind. Thread-safe. */
class RefusalLog {
public:
    /** @param clock must outlive the log. */
    explicit RefusalLog(const Foundation::Clock& clock);

    /** @param heldBytes the received bytes that the process holds. */
    void add(ClientRefusal refusal, std::size_t heldBytes);

    std::uint64_t count(ClientRefusal refusal) const;

private:
    struct Counter {
        std::uint64_t total = 0;
        std::uint64_t logged = 0;
        Foundation::TimePoint nextLine {};
    };

    const Foundation::Clock& clock;
    mutable std::mutex mutex;
    std::array<Counter, allClientRefusals.size()> counters;
};

} // namespace Web
