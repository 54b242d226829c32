#pragma once

#include <foundation/clock.h>

#include "platform/engineorders.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/** Memory to reserve at an engine. */
struct MemoryRequirement {
    std::string upstream;
    std::string address;
    std::int64_t tokens = 0;
};

using MemoryReservationId = std::uint64_t;

/**
 * Reserves memory of engines for prompts that do not fit on one engine. The leases are short and renewed as long as
 * their owner says that the memory is in use, so that those of a killed process expire and none outlives its work. An
 * engine may execute an order whose answer was lost much later; until this can no longer happen, the release of the
 * lease is repeated.
 * @tparam Orders sends the orders to engines, such as PlatformAdapter::EngineOrders.
 */
template <typename Orders> class MemoryLeaseManager {
public:
    /** Called with the names of the leases, in the order of the requirements; empty if the reservation failed. */
    using ReservationHandler = std::function<void(const std::vector<std::string>&)>;
    /** Returns whether work that uses the memory goes on. */
    using UseCheck = std::function<bool()>;

    MemoryLeaseManager(Orders& orders, const Foundation::Clock& clock, std::string leaseNamePrefix)
        : orders(orders)
        , clock(clock)
        , leaseNamePrefix(std::move(leaseNamePrefix))
    {
    }

    /**
     * Reserves memory at several engines, at all of them or at none.
     * @param isInUse asked at each tick; the memory is released once it returns false.
     * @param onDone called at most once, possibly before this function returns; never after release(), nor once isInUse
     * has returned false.
     * @return an id for release().
     */
    MemoryReservationId reserve(
        const std::vector<MemoryRequirement>& requirements, UseCheck isInUse, ReservationHandler onDone)
    {
        const MemoryReservationId id = ++this->lastReservationId;
        Reservation& reservation = this->reservations[id];
        reservation.isInUse = std::move(isInUse);
        reservation.onDone = std::move(onDone);
        for (const MemoryRequirement& requirement : requirements) {
            Lease lease;
            lease.descriptor = { this->leaseNamePrefix + std::to_string(++this->lastLeaseNumber), requirement.upstream,
                requirement.address, requirement.tokens };
            reservation.leases.push_back(std::move(lease));
        }
        for (std::size_t i = 0; i < requirements.size() && !this->reservations.at(id).isReleasing; ++i)
            this->sendReserveOrder(id, i);
        return id;
    }

    /** Releases the memory at all engines of a reservation; ignores unknown ids. */
    void release(MemoryReservationId id)
    {
        const auto found = this->reservations.find(id);
        if (found == this->reservations.end() || found->second.isReleasing)
            return;
        found->second.isReleasing = true;
        found->second.isInUse = {};
        found->second.onDone = {};
        for (std::size_t i = 0; i < found->second.leases.size(); ++i)
            this->sendReleaseOrder(id, i);
    }

    /** Releases the memory that is no longer in use, and sends the renewals and the repeated releases that are due. */
    void tick()
    {
        this->releaseUnused();
        const Foundation::TimePoint now = this->clock.now();
        std::vector<std::pair<MemoryReservationId, std::size_t>> due;
        for (const auto& [id, reservation] : this->reservations) {
            for (std::size_t i = 0; i < reservation.leases.size(); ++i) {
                const Lease& lease = reservation.leases[i];
                if (!lease.isClosed && !lease.isOrderInFlight && now >= lease.nextOrderAt)
                    due.emplace_back(id, i);
            }
        }
        for (const auto& [id, index] : due) {
            if (this->reservations.at(id).isReleasing)
                this->sendReleaseOrder(id, index);
            else
                this->sendReserveOrder(id, index);
        }
        std::erase_if(this->reservations, [](const auto& entry) {
            return entry.second.isReleasing
                && std::ranges::all_of(entry.second.leases, [](const Lease& lease) { return lease.isClosed; });
        });
    }

    /** Returns the number of reservations that are active or whose release is not certain yet. */
    std::size_t size() const { return this->reservations.size(); }

private:
    // Long enough to survive a few lost renewals. Memory must be free 4 s after its last use, also if the process is
    // killed.
    static constexpr Foundation::Duration leaseDuration = std::chrono::milliseconds(3'700);
    static constexpr Foundation::Duration renewalInterval = std::chrono::milliseconds(1'200);
    static constexpr Foundation::Duration retryInterval = std::chrono::milliseconds(100);
    // An engine may execute an order that it did not answer up to 12 s later.
    static constexpr Foundation::Duration lateExecutionWindow = std::chrono::seconds(13);
    static constexpr Foundation::Duration releaseRepeatInterval = std::chrono::milliseconds(800);
    static constexpr int maximumUnansweredReleases = 40;

    struct Lease {
        PlatformAdapter::LeaseDescriptor descriptor;
        bool isHeld = false;
        bool isOrderInFlight = false;
        /** Whether the release is certain, so that no more orders are sent. */
        bool isClosed = false;
        Foundation::TimePoint nextOrderAt {};
        /** Until when the engine may still execute an earlier order that it did not answer. */
        Foundation::TimePoint lateExecutionUntil {};
        int unansweredReleases = 0;
    };

    struct Reservation {
        std::vector<Lease> leases;
        UseCheck isInUse;
        ReservationHandler onDone;
        bool isReleasing = false;
    };

    void releaseUnused()
    {
        std::vector<MemoryReservationId> unused;
        for (const auto& [id, reservation] : this->reservations) {
            if (!reservation.isReleasing && !reservation.isInUse())
                unused.push_back(id);
        }
        for (const MemoryReservationId id : unused) {
            this->release(id);
        }
    }

    Lease* findLease(MemoryReservationId id, std::size_t index)
    {
        const auto found = this->reservations.find(id);
        return found == this->reservations.end() ? nullptr : &found->second.leases[index];
    }

    void sendReserveOrder(MemoryReservationId id, std::size_t index)
    {
        Lease& lease = *this->findLease(id, index);
        lease.isOrderInFlight = true;
        this->orders.reserve(lease.descriptor, leaseDuration,
            [this, id, index](PlatformAdapter::OrderOutcome outcome) { this->onReserveAnswered(id, index, outcome); });
    }

    void onReserveAnswered(MemoryReservationId id, std::size_t index, PlatformAdapter::OrderOutcome outcome)
    {
        Lease* const lease = this->findLease(id, index);
        if (!lease)
            return;
        const Foundation::TimePoint now = this->clock.now();
        lease->isOrderInFlight = false;
        if (outcome == PlatformAdapter::OrderOutcome::Unknown)
            lease->lateExecutionUntil = now + lateExecutionWindow;
        const bool isDone = outcome == PlatformAdapter::OrderOutcome::Done;
        lease->nextOrderAt = now + (isDone ? renewalInterval : retryInterval);
        Reservation& reservation = this->reservations.at(id);
        if (reservation.isReleasing) {
            lease->nextOrderAt = now;
            return;
        }
        if (lease->isHeld)
            return;
        lease->isHeld = isDone;
        if (!isDone)
            this->completeReservation(id, {});
        else if (std::ranges::all_of(reservation.leases, &Lease::isHeld))
            this->completeReservation(id, this->leaseNames(reservation));
    }

    std::vector<std::string> leaseNames(const Reservation& reservation) const
    {
        std::vector<std::string> names;
        for (const Lease& lease : reservation.leases)
            names.push_back(lease.descriptor.name);
        return names;
    }

    void completeReservation(MemoryReservationId id, const std::vector<std::string>& names)
    {
        const ReservationHandler onDone = std::exchange(this->reservations.at(id).onDone, {});
        if (names.empty())
            this->release(id);
        if (onDone)
            onDone(names);
    }

    void sendReleaseOrder(MemoryReservationId id, std::size_t index)
    {
        Lease& lease = *this->findLease(id, index);
        if (lease.isOrderInFlight)
            return;
        lease.isOrderInFlight = true;
        this->orders.release(lease.descriptor, [this, id, index](PlatformAdapter::OrderOutcome outcome) {
            Lease* const sent = this->findLease(id, index);
            if (!sent)
                return;
            const Foundation::TimePoint now = this->clock.now();
            sent->isOrderInFlight = false;
            const bool isAnswered = outcome != PlatformAdapter::OrderOutcome::Unknown;
            sent->isClosed = isAnswered && now >= sent->lateExecutionUntil;
            sent->nextOrderAt = now + (isAnswered ? releaseRepeatInterval : retryInterval);
            if (!isAnswered)
                ++sent->unansweredReleases;
            // An engine that does not answer for so long is gone, and its memory with it.
            if (sent->unansweredReleases > maximumUnansweredReleases)
                sent->isClosed = true;
        });
    }

    Orders& orders;
    const Foundation::Clock& clock;
    std::string leaseNamePrefix;
    std::uint64_t lastLeaseNumber = 0;
    MemoryReservationId lastReservationId = 0;
    std::map<MemoryReservationId, Reservation> reservations;
};

} // namespace Gateway
