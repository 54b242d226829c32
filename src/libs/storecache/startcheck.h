#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <optional>

namespace StoreCache {

/**
 * Decides whether a process that starts may take what the store holds as current. The store may have just come back
 * from an older copy, which lacks what it acknowledged since, for instance that a key was removed. Processes that know
 * the era before wait until its writers had time to write again, and then record the era in the store as settled. A
 * process that starts and finds its era recorded, or is told by another process that it is settled, need not wait.
 * Otherwise it waits for the same time after its first read.
 */
class StartCheck {
public:
    /** @param settleTime the time within which the writers write again. */
    explicit StartCheck(Foundation::Duration settleTime);

    /** Records that the operator's records were read. Only the first call has an effect. */
    void recordRead(Foundation::TimePoint now);

    /**
     * Records what the store says.
     * @param era the era of the store; 0 if it names none, and so never came back from a copy.
     * @param settledEra the newest era that is recorded as settled; 0 if there is none.
     * @param hasProcesses whether the store lists any process.
     */
    void recordListing(std::uint64_t era, std::uint64_t settledEra, bool hasProcesses);

    /** Records that the era is settled, as another process says, or that this process has seen it begin. */
    void recordSettled() { this->state = State::Current; }

    /** Returns whether neither the store nor a peer has been heard yet. */
    bool isUndecided() const { return this->state == State::Undecided; }

    /** Returns whether the process waits for the writers. */
    bool isWaiting(Foundation::TimePoint now) const;

    /** Returns whether what the store holds may be taken as current. */
    bool isCurrent(Foundation::TimePoint now) const { return !this->isUndecided() && !this->isWaiting(now); }

private:
    enum class State : std::uint8_t { Undecided, Waiting, Current };

    Foundation::Duration settleTime;
    State state = State::Undecided;
    std::optional<Foundation::TimePoint> firstRead;
};

} // namespace StoreCache
