#include "storesynchronizer.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using Membership::UpstreamDirectory;
using StoreCache::KeyedRecord;
using StoreCache::TopicUpdate;

// The operator's topic changes rarely, so it is read with long polling. A dead connection is detected after this
// fraction of the time in which a change has to be in force, plus the store's answer timeout.
constexpr double operatorLongPollFraction = 0.5;
constexpr Duration minimumOperatorLongPoll = std::chrono::milliseconds(1'000);
constexpr Duration maximumOperatorLongPoll = std::chrono::milliseconds(2'000);
// Each upstream appends a record at each heartbeat, so a long poll of the upstreams' topic would return at once. It is
// read several times while an upstream that leaves may still be used, since changes pass through a reader.
constexpr double upstreamPollFraction = 0.225;
constexpr Duration minimumUpstreamPollInterval = std::chrono::milliseconds(450);
constexpr Duration maximumUpstreamPollInterval = std::chrono::milliseconds(900);
// Gateways start and stop rarely, and they also send each other their addresses when they connect.
constexpr Duration peerLongPoll = std::chrono::seconds(15);
// Batches the records of gateways that start at the same time.
constexpr Duration peerPollInterval = std::chrono::milliseconds(1'500);
// One gateway of a failure domain reads the store for all. If its updates stop, the others start to read one after
// another: each waits for one read cycle plus this delay for each gateway that precedes it, at most so many times.
constexpr Duration rankDelay = std::chrono::milliseconds(300);
constexpr std::size_t maximumRankDelays = 3;
// The delay after a failed read. It doubles with each further failure. Readers of a failure domain have the smaller
// maximum, so that a change still comes into force within its time limit; the others receive their updates from a
// reader.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(250);
constexpr Duration maximumReaderRetryDelay = std::chrono::milliseconds(500);
constexpr Duration maximumRetryDelay = std::chrono::seconds(2);
// The number of gateways of a failure domain that retry at the short delay while the store is unavailable.
constexpr std::size_t outageReaderCount = 2;
// Entries that expired during a store outage are written again about two seconds after its end.
constexpr Duration expiredEntryGrace = std::chrono::milliseconds(2'500);
// After the store has come back from an older copy, the operator and the upstreams write again what the copy lacks.
// Until then evacuations stay as they were, and reads do not prove that a key is still valid.
constexpr Duration eraSettleTime = expiredEntryGrace;
// Gateways record a settled era one after another with this delay, so that usually one of a failure domain does.
constexpr Duration eraRecordDelay = std::chrono::seconds(2);
// Spreads what the gateways write again.
constexpr Duration maximumRewriteDelay = std::chrono::milliseconds(800);
// The greatest age of the cached state at which keys are accepted, as a fraction of the time in which a revoked key
// must be out of use. The rest is for requests that were accepted just before.
constexpr double keyAgeFraction = 0.85;

Duration fractionOf(Duration limit, double fraction, Duration minimum, Duration maximum)
{
    return std::clamp(Foundation::fromSeconds(Foundation::toSeconds(limit) * fraction), minimum, maximum);
}

} // namespace

StoreSynchronizer::StoreSynchronizer(Platform::HttpTransfers& transfers, const Foundation::Clock& clock,
    const Foundation::Clock& bootClock, Foundation::MetricRegistry& metrics, const GatewaySettings& settings,
    Handlers handlers)
    : clock(clock)
    , bootClock(bootClock)
    , metrics(metrics)
    , settings(settings)
    , handlers(std::move(handlers))
    , store(transfers, settings.node.storeAddress)
    , operatorRecords([this](const KeyedRecord& record) { this->onOperatorRecord(record); })
    , upstreamRecords([this](const KeyedRecord& record) { this->onUpstreamRecord(record); })
    , peerRecords([this](const KeyedRecord& record) { this->onPeerRecord(record); })
    , suspectRecords([this](const KeyedRecord& record) {
        // What an older copy lacks was not removed.
        if (record.value || !this->isMergingCopy)
            this->handlers.onSuspectRecord(record);
    })
    , incarnation(Foundation::makeIdentifier())
    , startCheck(eraSettleTime)
    , policyCell(nullptr)
    , upstreamDirectory([this](UpstreamDirectory::Change change, const Membership::Upstream& upstream) {
        this->onUpstreamChange(change, upstream);
    })
{
    this->store.setEraHandler([this](std::uint64_t newEra) { this->beginEra(newEra); });
    this->operatorFollower.topic = PlatformAdapter::Topic::operatorRecords;
    this->operatorFollower.records = &this->operatorRecords;
    this->operatorFollower.longPoll = fractionOf(
        settings.node.policyApplyLimit, operatorLongPollFraction, minimumOperatorLongPoll, maximumOperatorLongPoll);
    this->upstreamFollower.topic = PlatformAdapter::Topic::upstreams;
    this->upstreamFollower.records = &this->upstreamRecords;
    this->upstreamFollower.pollInterval = fractionOf(
        settings.node.drainLimit, upstreamPollFraction, minimumUpstreamPollInterval, maximumUpstreamPollInterval);
    this->peerFollower.topic = PlatformAdapter::Topic::peers;
    this->peerFollower.records = &this->peerRecords;
    this->peerFollower.longPoll = peerLongPoll;
    this->peerFollower.pollInterval = peerPollInterval;
    this->peerFollower.isAuxiliary = true;
    // Gateways tell each other of crashes at once; the store only replaces those that are gone or cannot be reached.
    this->suspectFollower.topic = PlatformAdapter::Topic::suspects;
    this->suspectFollower.records = &this->suspectRecords;
    this->suspectFollower.longPoll = peerLongPoll;
    this->suspectFollower.pollInterval = peerPollInterval;
    this->suspectFollower.isAuxiliary = true;
}

std::array<StoreSynchronizer::Follower*, 4> StoreSynchronizer::followers()
{
    return { &this->operatorFollower, &this->upstreamFollower, &this->peerFollower, &this->suspectFollower };
}

void StoreSynchronizer::start()
{
    const TimePoint now = this->clock.now();
    for (Follower* const follower : this->followers()) {
        follower->lastSuccess = now;
        follower->lastCurrent = now;
        follower->currentSince = now;
        follower->nextRead = now;
    }
    this->tick();
}

void StoreSynchronizer::resetReads()
{
    for (Follower* const follower : this->followers()) {
        ++follower->readGeneration;
        follower->isReading = false;
        follower->nextRead = this->clock.now();
    }
}

void StoreSynchronizer::setSettings(const GatewaySettings& newSettings)
{
    this->settings = newSettings;
    this->store.setAddress(newSettings.node.storeAddress);
}

void StoreSynchronizer::tick()
{
    const TimePoint now = this->clock.now();
    this->endStartWait();
    this->confirmRead();
    this->registerSelf();
    this->recordSettledEra();
    for (Follower* const follower : this->followers()) {
        if (this->isDue(*follower))
            this->read(*follower);
    }
    this->queryPeerIfDue();
    if (this->upstreamDirectory.expire(now))
        this->hasChanged = true;
    if (this->isEvacuationUpdatePending && !this->isSettling())
        this->updateEvacuated();
    const bool isStale = this->policy() && !this->canAcceptKeys();
    if (isStale && !this->wasStale)
        logEvent(Event::KnowledgeStale, "", "age_ms=" + this->cacheAgeText());
    this->wasStale = isStale;
    if (std::exchange(this->hasChanged, false))
        this->handlers.onChange();
}

bool StoreSynchronizer::isDue(const Follower& follower) const
{
    const TimePoint now = this->clock.now();
    if (follower.isReading || now < follower.nextRead)
        return false;
    // Crashes are read last and not during an outage, so that they add no calls to it.
    if (&follower == &this->suspectFollower && !this->isStoreReachable())
        return false;
    const std::size_t rank = this->handlers.domainRank();
    if (!follower.isListed || rank == 0)
        return true;
    const int delays = static_cast<int>(std::min(rank, maximumRankDelays));
    if (follower.isAuxiliary)
        return now - std::max(follower.lastPassedOn, follower.lastSuccess) >= passOnTimeout + delays * rankDelay;
    return now - follower.lastCurrent >= follower.longPoll + follower.pollInterval + delays * rankDelay;
}

std::int64_t StoreSynchronizer::ageMs(const Follower& follower, TimePoint now)
{
    return Foundation::toMilliseconds(now - follower.lastCurrent);
}

void StoreSynchronizer::registerSelf()
{
    const TimePoint now = this->clock.now();
    if (this->isRegistered || this->isRegistrationPending || now < this->nextRegistration
        || !this->peerFollower.isListed)
        return;
    // Each record wakes every gateway that polls the topic, so an address that an earlier process wrote is not written
    // again.
    const auto listed = this->peerAddresses.find(this->settings.node.name);
    if (listed != this->peerAddresses.end() && listed->second == this->settings.node.peerEndpoint.text()) {
        this->isRegistered = true;
        return;
    }
    this->isRegistrationPending = true;
    this->nextRegistration = now + initialRetryDelay * 4;
    const auto& node = this->settings.node;
    std::vector<KeyedRecord> records { { node.name, node.peerEndpoint.text() } };
    // The first gateways of a deployment record the era with their addresses, which saves a call.
    const bool recordsEra = this->settledEra < this->era && !this->isPossiblyOldCopy();
    if (recordsEra)
        records.push_back({ std::string(PlatformAdapter::settledEraKey), std::to_string(this->era) });
    this->isSettledEraPending = this->isSettledEraPending || recordsEra;
    this->store.append(
        PlatformAdapter::Topic::peers, records, [this, recordsEra, recordedEra = this->era](bool isDone) {
            this->isRegistrationPending = false;
            this->isRegistered = isDone;
            if (!recordsEra)
                return;
            this->isSettledEraPending = false;
            if (isDone)
                this->settledEra = std::max(this->settledEra, recordedEra);
        });
}

void StoreSynchronizer::recordSettledEra()
{
    const TimePoint now = this->clock.now();
    const bool isRecorded = this->settledEra >= this->era;
    if (isRecorded || !this->peerFollower.isListed || this->isPossiblyOldCopy()) {
        this->nextEraRecord.reset();
        return;
    }
    if (!this->nextEraRecord) {
        const std::size_t rank = std::min(this->handlers.domainRank(), maximumRankDelays);
        this->nextEraRecord = now + static_cast<int>(rank) * eraRecordDelay;
    }
    if (this->isSettledEraPending || now < *this->nextEraRecord)
        return;
    this->isSettledEraPending = true;
    this->nextEraRecord = now + eraRecordDelay;
    const std::array<KeyedRecord, 1> record {
        { { std::string(PlatformAdapter::settledEraKey), std::to_string(this->era) } }
    };
    this->store.append(PlatformAdapter::Topic::peers, record, [this, recordedEra = this->era](bool isDone) {
        this->isSettledEraPending = false;
        if (isDone)
            this->settledEra = std::max(this->settledEra, recordedEra);
    });
}

void StoreSynchronizer::read(Follower& follower)
{
    follower.isReading = true;
    const TimePoint sent = this->bootClock.now();
    const std::uint64_t readGeneration = follower.readGeneration;
    if (!follower.isListed) {
        this->store.readListing(follower.topic, [this, &follower, sent, readGeneration](auto listing) {
            if (readGeneration != follower.readGeneration)
                return;
            if (!listing) {
                this->onFailure(follower, listing.error().message);
                return;
            }
            follower.isListed = true;
            this->recordSuccess(follower);
            this->countUnreadableRecords(follower, listing.value().unreadableRecords, listing.value().end);
            this->isMergingCopy = std::exchange(follower.isCopyUnread, false);
            if (this->isMergingCopy)
                this->beginSettling(follower);
            follower.records->merge(
                TopicUpdate::listing(std::move(listing.value().records), listing.value().end, listing.value().era));
            this->isMergingCopy = false;
            if (&follower == &this->peerFollower)
                this->startCheck.recordListing(this->era, this->settledEra, !this->peerAddresses.empty());
            follower.publishedEnd = follower.records->end();
            this->onRead(follower, sent, {});
        });
        return;
    }
    const std::uint64_t from = follower.records->end();
    this->store.readRange(
        follower.topic, from, follower.longPoll, [this, &follower, sent, readGeneration, from](auto range) {
            if (readGeneration != follower.readGeneration)
                return;
            if (!range) {
                this->onFailure(follower, range.error().message);
                return;
            }
            this->recordSuccess(follower);
            if (range.value().hasExpired) {
                follower.isListed = false;
                follower.isReading = false;
                logEvent(Event::StoreHistoryLost, "", "topic=" + follower.topic);
                return;
            }
            const bool isWhole = range.value().isWhole();
            const bool isEmpty = range.value().end == from;
            if (!isWhole && isEmpty) {
                this->onFailure(follower, "the store returns none of the records that follow");
                return;
            }
            this->countUnreadableRecords(follower, range.value().unreadableRecords, range.value().end);
            follower.records->merge(
                TopicUpdate::range(from, std::move(range.value().records), range.value().end, range.value().era));
            // An empty result means that the long poll ran to its end, so nothing was written until then.
            if (isWhole)
                this->onRead(follower, sent, isEmpty ? follower.longPoll : Duration::zero());
            else
                this->onPartRead(follower, range.value().topicEnd);
        });
}

void StoreSynchronizer::countUnreadableRecords(const Follower& follower, std::size_t count, std::uint64_t end)
{
    if (count == 0)
        return;
    this->metrics.counter("bluebell_ignored_entries_total").fetch_add(count);
    logEvent(Event::EntryIgnored, "",
        "topic=" + follower.topic + " records=" + std::to_string(count) + " end=" + std::to_string(end));
}

void StoreSynchronizer::onPartRead(Follower& follower, std::uint64_t topicEnd)
{
    follower.isReading = false;
    follower.nextRead = this->clock.now();
    this->metrics.counter("bluebell_store_partial_reads_total").fetch_add(1);
    logEvent(Event::StoreReadPartial, "",
        "topic=" + follower.topic + " end=" + std::to_string(follower.records->end())
            + " topic_end=" + std::to_string(topicEnd));
    // The domain peers get the records with the age that the cache had before.
    this->sendToDomainPeers();
    this->tick();
}

void StoreSynchronizer::onRead(Follower& follower, TimePoint sent, Duration holdTime)
{
    recordCurrent(follower, this->clock.now());
    follower.isReading = false;
    follower.nextRead = this->clock.now() + follower.pollInterval;
    if (&follower == &this->operatorFollower) {
        this->startCheck.recordRead(this->clock.now());
        if (!this->isSettling())
            this->unconfirmedRead = std::min(sent + holdTime, this->bootClock.now());
    }
    this->confirmRead();
    // Every gateway reads the auxiliary topics when it starts.
    if (!follower.isAuxiliary || follower.records->end() > follower.publishedEnd)
        this->sendToDomainPeers();
    this->tick();
}

bool StoreSynchronizer::isPossiblyOldCopy() const
{
    return this->isSettling() || (this->era > 0 && !this->startCheck.isCurrent(this->clock.now()));
}

void StoreSynchronizer::confirmRead()
{
    if (!this->unconfirmedRead || (this->era > 0 && this->startCheck.isUndecided()))
        return;
    if (!this->isPossiblyOldCopy())
        this->freshness.recordCurrentAsOf(*this->unconfirmedRead);
    this->unconfirmedRead.reset();
}

void StoreSynchronizer::endStartWait()
{
    const bool isWaiting = this->era > 0 && this->startCheck.isWaiting(this->clock.now());
    const bool wasWaiting = std::exchange(this->wasWaitingAtStart, isWaiting);
    if (wasWaiting == isWaiting)
        return;
    logEvent(Event::StoreEraChanged, "",
        "era=" + std::to_string(this->era) + " settled=" + std::to_string(this->settledEra)
            + (isWaiting ? " start=waits" : " start=current"));
    if (isWaiting)
        return;
    // A read that the store holds would prove that the keys are current only when its wait is over.
    ++this->operatorFollower.readGeneration;
    this->operatorFollower.isReading = false;
    this->operatorFollower.isListed = false;
    this->operatorFollower.nextRead = this->clock.now();
}

void StoreSynchronizer::beginEra(std::uint64_t newEra)
{
    if (newEra <= this->era)
        return;
    const TimePoint now = this->clock.now();
    const bool isFirst = this->era == 0 && !this->operatorFollower.isListed && !this->upstreamFollower.isListed;
    const std::uint64_t previous = std::exchange(this->era, newEra);
    this->store.beginEra(newEra);
    for (Follower* const follower : this->followers())
        follower->records->beginEra(newEra);
    if (isFirst)
        return;
    // This process has seen the era begin, so it settles like all that run.
    this->startCheck.recordSettled();
    this->unconfirmedRead.reset();
    const Duration delay = std::chrono::milliseconds(
        Foundation::randomBelow(static_cast<std::uint64_t>(Foundation::toMilliseconds(maximumRewriteDelay))));
    logEvent(Event::StoreEraChanged, "",
        "era=" + std::to_string(newEra) + " before=" + std::to_string(previous)
            + " upstreams=" + std::to_string(this->upstreamDirectory.size())
            + " policy=" + std::to_string(this->policy() ? this->policy()->version() : 0)
            + " evacuated=" + std::to_string(this->upstreamDirectory.evacuated().size())
            + " rewrite_delay_ms=" + std::to_string(Foundation::toMilliseconds(delay)));
    this->resetReads();
    for (Follower* const follower : this->followers())
        follower->isListed = false;
    for (Follower* const follower : this->followers())
        follower->isCopyUnread = true;
    this->operatorEndPublished = 0;
    this->upstreamEndPublished = 0;
    this->upstreamChanges.clear();
    for (Follower* const follower : this->followers())
        follower->publishedEnd = 0;
    // An entry that the copy lacks may be written again until then, whoever reached the store meanwhile.
    this->upstreamFollower.awaySince = this->upstreamFollower.lastCurrent;
    this->upstreamFollower.currentSince = now;
    this->upstreamDirectory.extendGracePeriod(now + expiredEntryGrace);
    this->isRegistered = false;
    this->nextRegistration = now + delay;
    this->handlers.onNewEra(delay);
}

void StoreSynchronizer::beginSettling(const Follower& follower)
{
    const TimePoint now = this->clock.now();
    if (&follower == &this->operatorFollower)
        this->eraSettledAt = now + eraSettleTime;
    if (&follower == &this->upstreamFollower)
        this->upstreamDirectory.extendGracePeriod(now + expiredEntryGrace);
}

bool StoreSynchronizer::isSettling() const
{
    return this->operatorFollower.isCopyUnread || this->clock.now() < this->eraSettledAt;
}

void StoreSynchronizer::recordSuccess(Follower& follower)
{
    const TimePoint now = this->clock.now();
    if (follower.isFailing)
        logEvent(Event::LogAvailable, "",
            "topic=" + follower.topic
                + " away_ms=" + std::to_string(Foundation::toMilliseconds(now - follower.lastSuccess)));
    // What this process could not reach says nothing of the others. Until one of them answers, entries that are missing
    // are taken as expired in an outage for all.
    if (follower.isFailing && isGap(follower, now) && &follower == &this->upstreamFollower) {
        this->upstreamDirectory.extendGracePeriod(now + expiredEntryGrace);
        this->nextQuery = now;
    }
    follower.isFailing = false;
    follower.consecutiveFailures = 0;
    follower.lastSuccess = now;
}

bool StoreSynchronizer::isGap(const Follower& follower, TimePoint asOf)
{
    return asOf - follower.lastCurrent >= minimumOutage + follower.pollInterval + follower.longPoll;
}

void StoreSynchronizer::recordCurrent(Follower& follower, TimePoint asOf)
{
    if (asOf <= follower.lastCurrent)
        return;
    if (isGap(follower, asOf)) {
        follower.awaySince = follower.lastCurrent;
        follower.currentSince = asOf;
    }
    follower.lastCurrent = asOf;
}

void StoreSynchronizer::onFailure(Follower& follower, std::string_view reason)
{
    follower.isReading = false;
    // Keys are not accepted before the gateways are listed.
    const bool isNeededAtStart = &follower == &this->peerFollower && !follower.isListed;
    const bool isReader = (!follower.isAuxiliary || isNeededAtStart) && this->handlers.domainRank() < outageReaderCount;
    follower.nextRead = this->clock.now()
        + Foundation::exponentialBackoff(
            initialRetryDelay, isReader ? maximumReaderRetryDelay : maximumRetryDelay, ++follower.consecutiveFailures);
    this->metrics.counter("bluebell_store_failures_total").fetch_add(1);
    if (!follower.isFailing)
        logEvent(Event::LogUnavailable, "", "topic=" + follower.topic + " reason=" + std::string(reason));
    follower.isFailing = true;
}

std::string StoreSynchronizer::cacheAgeText() const
{
    const auto age = this->cacheAge();
    return age ? std::to_string(Foundation::toMilliseconds(*age)) : std::string("unknown");
}

bool StoreSynchronizer::canAcceptKeys() const
{
    const auto age = this->cacheAge();
    const auto current = this->policy();
    return age && (!current || current->version() >= this->peerPolicyVersion)
        && Foundation::toSeconds(*age)
        <= keyAgeFraction * Foundation::toSeconds(this->settings.node.keyRevocationLimit);
}

bool StoreSynchronizer::isPossiblyStale() const
{
    const auto age = this->cacheAge();
    return !age || *age > this->settings.node.policyApplyLimit;
}

} // namespace Gateway
