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

/** Memory to set aside at an engine. */
struct MemoryNeed {
    std::string upstream;
    std::string address;
    std::int64_t tokens = 0;
};

using MemoryId = std::uint64_t;

/**
 * Sets memory of engines aside for prompts that are larger than one engine holds. Leases are short and renewed while
 * their prompt is under way, so that what a process leaves behind when it is killed ends by itself. An order whose
 * answer was lost may be carried out much later; until that is past, memory that nobody needs is given back again and
 * again.
 * @tparam Orders the orders to engines, such as PlatformAdapter::EngineOrders.
 */
template <typename Orders> class MemoryKeeper {
public:
    /** Called with the names under which the memory is set aside, in the order of the needs; empty if it is not. */
    using DoneHandler = std::function<void(const std::vector<std::string>&)>;

    MemoryKeeper(Orders& orders, const Foundation::Clock& clock, std::string namePrefix)
        : orders(orders)
        , clock(clock)
        , namePrefix(std::move(namePrefix))
    {
    }

    /**
     * Sets memory aside at several engines, at all of them or at none.
     * @param needs the engines and what is needed there.
     * @param onDone called once.
     * @return a name for release().
     */
    MemoryId reserve(const std::vector<MemoryNeed>& needs, DoneHandler onDone)
    {
        const MemoryId id = ++this->lastId;
        Group& group = this->groups[id];
        group.onDone = std::move(onDone);
        for (const MemoryNeed& need : needs) {
            Lease lease;
            lease.ticket
                = { this->namePrefix + std::to_string(++this->lastTicket), need.upstream, need.address, need.tokens };
            group.leases.push_back(std::move(lease));
        }
        for (std::size_t i = 0; i < needs.size() && !this->groups.at(id).isReleasing; ++i)
            this->sendReserve(id, i);
        return id;
    }

    /** Gives the memory back. */
    void release(MemoryId id)
    {
        const auto found = this->groups.find(id);
        if (found == this->groups.end() || found->second.isReleasing)
            return;
        found->second.isReleasing = true;
        found->second.onDone = {};
        for (std::size_t i = 0; i < found->second.leases.size(); ++i)
            this->sendRelease(id, i);
    }

    /** Renews leases and repeats releases that are due. */
    void tick()
    {
        const Foundation::TimePoint now = this->clock.now();
        std::vector<std::pair<MemoryId, std::size_t>> due;
        for (const auto& [id, group] : this->groups) {
            for (std::size_t i = 0; i < group.leases.size(); ++i) {
                const Lease& lease = group.leases[i];
                if (!lease.isClosed && !lease.isSending && now >= lease.nextOrder)
                    due.emplace_back(id, i);
            }
        }
        for (const auto& [id, index] : due) {
            if (this->groups.at(id).isReleasing)
                this->sendRelease(id, index);
            else
                this->sendReserve(id, index);
        }
        std::erase_if(this->groups, [](const auto& entry) {
            return entry.second.isReleasing
                && std::ranges::all_of(entry.second.leases, [](const Lease& lease) { return lease.isClosed; });
        });
    }

    /** @return the prompts whose memory is set aside or not yet given back for certain. */
    std::size_t size() const { return this->groups.size(); }

private:
    // A lease outlives a few lost renewals, and ends soon after its process. Memory must be free 4 s after its use.
    static constexpr Foundation::Duration leaseTime = std::chrono::milliseconds(3'700);
    static constexpr Foundation::Duration renewalInterval = std::chrono::milliseconds(1'200);
    static constexpr Foundation::Duration retryInterval = std::chrono::milliseconds(100);
    // An order without an answer may be carried out up to 12 s later.
    static constexpr Foundation::Duration lateOrderTime = std::chrono::seconds(13);
    static constexpr Foundation::Duration repeatedReleaseInterval = std::chrono::milliseconds(800);
    static constexpr int mostLostReleases = 40;

    struct Lease {
        PlatformAdapter::MemoryTicket ticket;
        bool isHeld = false;
        bool isSending = false;
        bool isClosed = false;
        Foundation::TimePoint nextOrder {};
        /** Until when an earlier order may still be carried out. */
        Foundation::TimePoint uncertainUntil {};
        int lostReleases = 0;
    };

    struct Group {
        std::vector<Lease> leases;
        DoneHandler onDone;
        bool isReleasing = false;
    };

    Lease* find(MemoryId id, std::size_t index)
    {
        const auto found = this->groups.find(id);
        return found == this->groups.end() ? nullptr : &found->second.leases[index];
    }

    void sendReserve(MemoryId id, std::size_t index)
    {
        Lease& lease = *this->find(id, index);
        lease.isSending = true;
        this->orders.reserve(lease.ticket, leaseTime,
            [this, id, index](PlatformAdapter::OrderEnd end) { this->onReserved(id, index, end); });
    }

    void onReserved(MemoryId id, std::size_t index, PlatformAdapter::OrderEnd end)
    {
        Lease* const lease = this->find(id, index);
        if (!lease)
            return;
        const Foundation::TimePoint now = this->clock.now();
        lease->isSending = false;
        if (end == PlatformAdapter::OrderEnd::Unknown)
            lease->uncertainUntil = now + lateOrderTime;
        const bool isDone = end == PlatformAdapter::OrderEnd::Done;
        lease->nextOrder = now + (isDone ? renewalInterval : retryInterval);
        Group& group = this->groups.at(id);
        if (group.isReleasing) {
            lease->nextOrder = now;
            return;
        }
        if (lease->isHeld)
            return;
        lease->isHeld = isDone;
        if (!isDone)
            this->conclude(id, {});
        else if (std::ranges::all_of(group.leases, &Lease::isHeld))
            this->conclude(id, this->namesOf(group));
    }

    std::vector<std::string> namesOf(const Group& group) const
    {
        std::vector<std::string> names;
        for (const Lease& lease : group.leases)
            names.push_back(lease.ticket.name);
        return names;
    }

    void conclude(MemoryId id, const std::vector<std::string>& names)
    {
        const DoneHandler onDone = std::exchange(this->groups.at(id).onDone, {});
        if (names.empty())
            this->release(id);
        if (onDone)
            onDone(names);
    }

    void sendRelease(MemoryId id, std::size_t index)
    {
        Lease& lease = *this->find(id, index);
        if (lease.isSending)
            return;
        lease.isSending = true;
        this->orders.release(lease.ticket, [this, id, index](PlatformAdapter::OrderEnd end) {
            Lease* const sent = this->find(id, index);
            if (!sent)
                return;
            const Foundation::TimePoint now = this->clock.now();
            sent->isSending = false;
            const bool isAnswered = end != PlatformAdapter::OrderEnd::Unknown;
            sent->isClosed = isAnswered && now >= sent->uncertainUntil;
            sent->nextOrder = now + (isAnswered ? repeatedReleaseInterval : retryInterval);
            if (!isAnswered)
                ++sent->lostReleases;
            // An engine that answers nothing for so long is gone, and its memory with it.
            if (sent->lostReleases > mostLostReleases)
                sent->isClosed = true;
        });
    }

    Orders& orders;
    const Foundation::Clock& clock;
    std::string namePrefix;
    std::uint64_t lastTicket = 0;
    MemoryId lastId = 0;
    std::map<MemoryId, Group> groups;
};

} // namespace Gateway
