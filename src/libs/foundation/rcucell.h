#pragma once

#include <urcu-bp.h>

#include <atomic>
#include <memory>

namespace Foundation {

/**
 * A value that many threads read without a lock while one thread replaces it (read-copy-update).
 * @tparam T the type of the value.
 */
template <typename T> class RcuCell {
public:
    explicit RcuCell(std::shared_ptr<const T> initial)
        : current(new std::shared_ptr<const T>(std::move(initial)))
    {
    }

    ~RcuCell() { delete this->current.load(); }

    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;

    /** Returns the current value. It stays valid for the lifetime of the returned pointer. */
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = *this->current.load(std::memory_order_acquire);
        urcu_bp_read_unlock();
        return value;
    }

    /** Replaces the value. Blocks until no reader is copying the old pointer any more. */
    void publish(std::shared_ptr<const T> next)
    {
        auto* const fresh = new std::shared_ptr<const T>(std::move(next));
        auto* const old = this->current.exchange(fresh, std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const T>*> current;
};

} // namespace Foundation
