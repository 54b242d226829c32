#pragma once

#include <cstddef>
#include <memory>

namespace Relay {

/**
 * The memory that a process has for the answers that it holds. An answer may hold as much as is still free beside all
 * of them, which bounds their sum, and leaves room for others whatever a few answers take (the dynamic thresholds of
 * Choudhury and Hahne for buffers that queues share). Thread-safe.
 */
class AnswerMemory {
public:
    /** What one answer holds. Gives it back when destroyed; may outlive the memory that it is a part of. */
    class Share {
    public:
        explicit Share(const AnswerMemory& memory);
        ~Share();
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /** Records how many bytes the answer holds now. */
        void resize(std::size_t bytes);

        /** @return how many bytes the answer may hold beside the other answers. */
        std::size_t limit() const;

        /** @return whether the answer holds no more than it may. */
        bool isWithinLimit() const { return this->bytes <= this->limit(); }

    private:
        struct Pool;
        friend class AnswerMemory;

        std::shared_ptr<Pool> pool;
        std::size_t bytes = 0;
    };

    /** @param capacity the number of bytes for all answers together. */
    explicit AnswerMemory(std::size_t capacity);

    void setCapacity(std::size_t capacity);

    /** @return the number of bytes that all answers hold now. */
    std::size_t heldBytes() const;

private:
    std::shared_ptr<Share::Pool> pool;
};

} // namespace Relay
