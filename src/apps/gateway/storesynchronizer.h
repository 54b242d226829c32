#pragma once

#include "gatewaysettings.h"

#include <foundation/clock.h>
#include <foundation/metrics.h>
#include <foundation/rcucell.h>
#include <membership/upstreamdirectory.h>
#include <policy/trafficpolicy.h>
#include <storecache/freshness.h>
#include <storecache/startcheck.h>
#include <storecache/topiccache.h>
#include <storecache/transitclock.h>
#include <wire/messages.h>

#include "platform/storeclient.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

/**
 * Caches the records of the operator, the upstreams and the gateways from the store. Reads them there, or queries
 * another gateway while the store does not answer this machine. The store's offsets decide which record of a key is the
 * newest, so the cached state never goes back to an older one.
 */
class StoreSynchronizer {
public:
    struct Handlers {
        /** Called when routes, keys, evacuations or upstreams changed. */
        std::function<void()> onChange;
        /** Called when a generation of an upstream has ended. */
        std::function<void(const std::string& upstreamGeneration)> onUpstreamRemoved;
        /** Called with the addresses of all gateways in the store, by process name. */
        std::function<void(const std::map<std::string, std::string>&)> onPeersChanged;
        /** Sends a query to one connected gateway. @return false if none is connected. */
        std::function<bool(const Wire::StoreCacheQuery&)> queryPeer;
        /** Sends newly read records to the gateways of this failure domain. */
        std::function<void(const Wire::StoreCacheReply&)> sendToDomainPeers;
        /** Called with each new record of a crash in the store; the record of a deleted key has no value. */
        std::function<void(const StoreCache::KeyedRecord&)> onSuspectRecord;
        /** Called when the store has come back from an older copy, with a delay that differs between the gateways. */
        std::function<void(Foundation::Duration delay)> onNewEra;
        /** Returns the number of connected gateways of this failure domain that precede this one as reader. */
        std::function<std::size_t()> domainRank;
    };

    StoreSynchronizer(Platform::HttpTransfers& transfers, const Foundation::Clock& clock,
        const Foundation::Clock& bootClock, Foundation::MetricRegistry& metrics, const GatewaySettings& settings,
        Handlers handlers);

    /** Starts to read the store, and writes this process's address to the list of gateways. */
    void start();

    /** Discards the reads in flight and their retry delays; called after the machine was suspended. */
    void resetReads();

    /** Starts the reads and queries that are due; called at each tick of the process. */
    void tick();

    /** Merges a reply or an update of another gateway. */
    void onReply(Wire::StoreCacheReply reply);

    /** Returns the cached records that another gateway asks for. */
    Wire::StoreCacheReply answerQuery(const Wire::StoreCacheQuery& query) const;

    /** Returns the policy in force; null before the first one was read. */
    std::shared_ptr<const Policy::TrafficPolicy> policy() const { return this->policyCell.read(); }

    Membership::UpstreamDirectory& directory() { return this->upstreamDirectory; }

    /** Returns the greatest possible age of the operator's cached records; none before they were read. */
    std::optional<Foundation::Duration> cacheAge() const { return this->freshness.age(this->bootClock.now()); }

    /** Returns whether the cached state is recent enough to accept the keys in it. */
    bool canAcceptKeys() const;

    /** Returns whether the cached state may lack a policy that is already in force at other gateways. */
    bool isPossiblyStale() const;

    void setSettings(const GatewaySettings& settings);

    PlatformAdapter::StoreClient& storeClient() { return this->store; }

    /** Returns whether the last reads of the store succeeded, so that reads that can wait may be made. */
    bool isStoreReachable() const { return this->peerFollower.isListed && !this->peerFollower.isFailing; }

private:
    /** An auxiliary topic is read by another gateway if its reader passes nothing on for this time. */
    static constexpr Foundation::Duration passOnTimeout = std::chrono::seconds(3);
    /** No entry expires in an outage shorter than this. */
    static constexpr Foundation::Duration minimumOutage = std::chrono::milliseconds(800);

    /** The state of reading one topic of the store. */
    struct Follower {
        std::string topic;
        StoreCache::TopicCache* records = nullptr;
        /** How long the store holds a read until a record is appended; 0 for a read that returns at once. */
        Foundation::Duration longPoll {};
        /** The time between the end of a read and the next one. */
        Foundation::Duration pollInterval {};
        /** Whether a delay matters little, since gateways also tell each other what is in the topic. */
        bool isAuxiliary = false;
        /** Whether a listing was merged; from then on only new records are read. */
        bool isListed = false;
        /** Whether the store has come back from an older copy that has not been read yet. */
        bool isCopyUnread = false;
        bool isReading = false;
        bool isFailing = false;
        int consecutiveFailures = 0;
        Foundation::TimePoint lastSuccess {};
        /** When the cached records were last complete up to the end of the topic, by a read or a peer's update. */
        Foundation::TimePoint lastCurrent {};
        /** When the reader of the failure domain last passed on that it follows the topic. */
        Foundation::TimePoint lastPassedOn {};
        /** The offset up to which the records were sent to the domain peers, by this process or by one of them. */
        std::uint64_t publishedEnd = 0;
        /** Since when they have been current without a gap in which entries could expire. */
        Foundation::TimePoint currentSince {};
        /** The start of the last such gap. */
        std::optional<Foundation::TimePoint> awaySince;
        Foundation::TimePoint nextRead {};
        /** Incremented to discard reads that are still in flight. */
        std::uint64_t readGeneration = 0;
    };

    std::array<Follower*, 4> followers();
    void read(Follower& follower);
    /** Handles that a topic was read to its end. @param sent when the read was sent. @param holdTime how long it was
     * held. */
    void onRead(Follower& follower, Foundation::TimePoint sent, Foundation::Duration holdTime);
    /** Handles that a read has returned only a part of what follows, which says nothing of the age of the cache. */
    void onPartRead(Follower& follower, std::uint64_t topicEnd);
    void countUnreadableRecords(const Follower& follower, std::size_t count, std::uint64_t end);
    void onFailure(Follower& follower, std::string_view reason);
    void recordSuccess(Follower& follower);
    /** Records that the cached records were complete at a time, by a read or by a peer's update. */
    static void recordCurrent(Follower& follower, Foundation::TimePoint asOf);
    static bool isGap(const Follower& follower, Foundation::TimePoint asOf);
    /** Starts or ends the grace period for missing upstreams by what another gateway says of the same time. */
    void applyPeerOutage(const Wire::StoreCacheReply& reply, Foundation::TimePoint sent);
    /**
     * Returns when a reply was sent, on the boot clock, and not later than it was; none if that is unknown. A reply may
     * be read long after that, for instance when this process was frozen.
     */
    std::optional<Foundation::TimePoint> sendTimeOf(const Wire::StoreCacheReply& reply);
    /** Returns a query for what this process lacks. */
    Wire::StoreCacheQuery makeQuery() const;
    /** Reads all topics again, and keeps what is known until the operator and the upstreams have written again. */
    void beginEra(std::uint64_t newEra);
    /** Returns whether the store has come back from an older copy so recently that records may be missing there. */
    bool isSettling() const;
    /** Starts the time in which the writers of a topic write again, once its older copy is read. */
    void beginSettling(const Follower& follower);
    /** Returns whether what was read of the store may lack something that it has acknowledged. */
    bool isPossiblyOldCopy() const;
    /** Takes what was read of the operator's topic as current, once the copy that this process started from is. */
    void confirmRead();
    /** Reads the operator's topic again when this process no longer waits for its writers. */
    void endStartWait();
    /** Records the era as settled in the store if no gateway has done so. */
    void recordSettledEra();
    void queryPeerIfDue();
    bool isDue(const Follower& follower) const;
    void sendToDomainPeers();
    /** Returns the records of an auxiliary topic that the domain peers have not been sent. */
    Wire::StoreCacheReply::TopicPart takeUnpublished(Follower& follower) const;
    /** Merges what the reader of the failure domain has read of an auxiliary topic. @param sent when it was sent. */
    static void applyPart(
        Follower& follower, Wire::StoreCacheReply::TopicPart part, std::uint64_t partEra, Foundation::TimePoint sent);
    static std::int64_t ageMs(const Follower& follower, Foundation::TimePoint now);
    void registerSelf();
    /** Returns the age of the operator's cached records in ms, for log lines. */
    std::string cacheAgeText() const;

    void onOperatorRecord(const StoreCache::KeyedRecord& record);
    void onUpstreamRecord(const StoreCache::KeyedRecord& record);
    /** Handles an entry that the store executed after a newer one of the same upstream. */
    void ignoreLateEntry(const StoreCache::KeyedRecord& record, const Membership::UpstreamEntry& entry);
    void onPeerRecord(const StoreCache::KeyedRecord& record);
    void applyPolicy(const StoreCache::KeyedRecord& record);
    void updateEvacuated();
    void onUpstreamChange(Membership::UpstreamDirectory::Change change, const Membership::Upstream& upstream) const;

    const Foundation::Clock& clock;
    const Foundation::Clock& bootClock;
    Foundation::MetricRegistry& metrics;
    GatewaySettings settings;
    Handlers handlers;
    PlatformAdapter::StoreClient store;
    StoreCache::TopicCache operatorRecords;
    StoreCache::TopicCache upstreamRecords;
    StoreCache::TopicCache peerRecords;
    StoreCache::TopicCache suspectRecords;
    Follower operatorFollower;
    Follower upstreamFollower;
    Follower peerFollower;
    Follower suspectFollower;
    /** The era of the store; 0 before it named one. */
    std::uint64_t era = 0;
    Foundation::TimePoint eraSettledAt {};
    /** Whether the records that are merged may be from an older copy of the store. */
    bool isMergingCopy = false;
    bool isEvacuationUpdatePending = false;
    /** Identifies this process in replies. */
    std::string incarnation;
    StoreCache::TransitClock transits;
    StoreCache::StartCheck startCheck;
    bool wasWaitingAtStart = false;
    /** As of when the operator's records are complete, if the copy that this process started from is current. */
    std::optional<Foundation::TimePoint> unconfirmedRead;
    /** The newest era that is recorded in the store as settled. */
    std::uint64_t settledEra = 0;
    bool isSettledEraPending = false;
    /** When this process may record the era; none while the era is not settled or is recorded. */
    std::optional<Foundation::TimePoint> nextEraRecord;
    /** The highest version that a peer has in force; keys of an older document are not accepted. */
    std::int64_t peerPolicyVersion = 0;
    StoreCache::Freshness freshness;
    Foundation::RcuCell<Policy::TrafficPolicy> policyCell;
    Membership::UpstreamDirectory upstreamDirectory;
    std::map<std::string, std::string> peerAddresses;
    bool isRegistered = false;
    bool isRegistrationPending = false;
    Foundation::TimePoint nextRegistration {};
    Foundation::TimePoint nextQuery {};
    /** The offsets up to which the records were published to the domain peers, by this process or by one of them. */
    std::uint64_t operatorEndPublished = 0;
    std::uint64_t upstreamEndPublished = 0;
    /** Hashes of the upstreams' entries without the fields that change at each heartbeat, to detect real changes. */
    std::map<std::string, std::uint64_t, std::less<>> upstreamDigests;
    /** Changed records of upstreams that were not published yet. */
    std::vector<StoreCache::KeyedRecord> upstreamChanges;
    bool wasStale = false;
    bool hasChanged = false;
};

} // namespace Gateway
