#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace Routing {

/** How a chunk of an answer was handled. */
enum class ChunkVerdict : std::uint8_t {
    /** The chunk is the next one and was appended. */
    Accepted,
    /** The chunk was received before. */
    Duplicate,
    /** An earlier chunk is missing. */
    Gap,
};

/**
 * Checks the order and the completeness of the chunks of one attempt's answer. The agent uses it to count and hash what
 * it sends, the entry to compare that with what it receives.
 */
class AnswerAssembly {
public:
    AnswerAssembly();
    ~AnswerAssembly();
    AnswerAssembly(AnswerAssembly&&) noexcept;
    AnswerAssembly& operator=(AnswerAssembly&&) noexcept;

    /**
     * Accepts a chunk of the answer if it is the next one.
     * @param sequence the number of the chunk, starting at 0.
     */
    ChunkVerdict accept(std::uint64_t sequence, std::string_view data);

    /**
     * Checks whether the answer was received completely.
     * @param count the number of chunks sent.
     * @param hash the value of hash() at the sender.
     */
    bool isComplete(std::uint64_t count, std::uint64_t hash) const;

    /** @return the sequence number of the next chunk. */
    std::uint64_t nextSequence() const;

    /** @return the XXH64 hash of all accepted bytes. */
    std::uint64_t hash() const;

    /** @return the number of accepted bytes. */
    std::uint64_t bytes() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Routing
