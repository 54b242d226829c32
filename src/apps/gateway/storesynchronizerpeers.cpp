// What the store synchronizer exchanges with the other gateways.

#include "storesynchronizer.h"

#include <foundation/logging.h>

#include <algorithm>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using StoreCache::TopicUpdate;

// Allowance for the network delay between two gateways, added to the age of a peer's state.
constexpr Duration networkDelayAllowance = std::chrono::milliseconds(20);
// Another gateway is queried if the cached state was not confirmed for this long, and again at the interval below.
constexpr Duration peerQueryDelay = std::chrono::milliseconds(900);
constexpr Duration peerQueryInterval = std::chrono::milliseconds(400);

std::string describe(std::string_view topic, const TopicUpdate& update)
{
    return std::string(topic) + (update.isListing() ? "=listing " : "=range ") + std::string(topic)
        + "_end=" + std::to_string(update.end);
}

} // namespace

void StoreSynchronizer::sendToDomainPeers()
{
    Wire::StoreCacheReply update
        = this->answerQuery({ this->operatorEndPublished, this->upstreamRecords.end(), this->era });
    if (!update.hasCachedState)
        return;
    update.upstreamUpdate = this->upstreamRecords.updateFrom(this->upstreamEndPublished, this->upstreamChanges);
    // A listing also has records after its end, which the next range must contain.
    std::erase_if(this->upstreamChanges, [&](const auto& change) { return change.offset < update.upstreamUpdate.end; });
    this->operatorEndPublished = update.operatorUpdate.end;
    this->upstreamEndPublished = update.upstreamUpdate.end;
    update.suspects = this->takeUnpublished(this->suspectFollower);
    update.peers = this->takeUnpublished(this->peerFollower);
    this->handlers.sendToDomainPeers(update);
}

Wire::StoreCacheReply::TopicPart StoreSynchronizer::takeUnpublished(Follower& follower) const
{
    if (!follower.isListed || follower.isCopyUnread)
        return {};
    const std::uint64_t from = std::exchange(follower.publishedEnd, follower.records->end());
    return { follower.records->updateFrom(from), ageMs(follower, this->clock.now()) + 1 };
}

void StoreSynchronizer::applyPart(
    Follower& follower, Wire::StoreCacheReply::TopicPart part, std::uint64_t partEra, TimePoint sent)
{
    part.update.era = partEra;
    const std::int64_t longestAgeMs
        = Foundation::toMilliseconds(follower.longPoll + follower.pollInterval + passOnTimeout);
    const bool isUsable = part.ageMs > 0 && part.ageMs <= longestAgeMs && follower.isListed && !follower.isCopyUnread
        && !follower.records->hasGapBefore(part.update);
    if (!isUsable)
        return;
    follower.records->merge(std::move(part.update));
    follower.publishedEnd = std::max(follower.publishedEnd, follower.records->end());
    follower.lastPassedOn = std::max(follower.lastPassedOn, sent);
    recordCurrent(follower, sent - std::chrono::milliseconds(part.ageMs));
}

void StoreSynchronizer::applyPeerOutage(const Wire::StoreCacheReply& reply, TimePoint sent)
{
    const TimePoint now = this->clock.now();
    const Follower& follower = this->upstreamFollower;
    if (reply.graceMs > 0) {
        const TimePoint peerAwaySince = sent - std::chrono::milliseconds(reply.upstreamAwayMs);
        const bool wasServed
            = reply.upstreamAwayMs > 0 && follower.currentSince <= peerAwaySince && !isGap(follower, now);
        if (!wasServed)
            this->upstreamDirectory.extendGracePeriod(sent + std::chrono::milliseconds(reply.graceMs));
        return;
    }
    if (!follower.awaySince || now >= this->upstreamDirectory.graceEnd())
        return;
    const TimePoint peerCurrentSince = sent - std::chrono::milliseconds(reply.upstreamCurrentForMs);
    const TimePoint peerCurrentUntil = sent - std::chrono::milliseconds(reply.upstreamAgeMs);
    const bool wasPeerServed = peerCurrentSince <= *follower.awaySince
        && peerCurrentUntil + minimumOutage + follower.pollInterval >= follower.currentSince;
    if (!wasPeerServed)
        return;
    logEvent(Event::OutageWasPartial, "",
        "away_ms=" + std::to_string(Foundation::toMilliseconds(now - *follower.awaySince))
            + " peer_current_for_ms=" + std::to_string(reply.upstreamCurrentForMs));
    this->upstreamDirectory.endGracePeriod(now);
    this->hasChanged = true;
}

void StoreSynchronizer::queryPeerIfDue()
{
    const TimePoint now = this->clock.now();
    const auto isOverdue = [now](const Follower& follower) {
        return now - follower.lastCurrent > peerQueryDelay + follower.longPoll + follower.pollInterval;
    };
    // In a grace period, a gateway that reached the store all the while can end it.
    const bool isInGrace = now < this->upstreamDirectory.graceEnd();
    const bool isWaiting = this->era > 0 && this->startCheck.isWaiting(now);
    const bool isNeeded
        = isWaiting || isInGrace || isOverdue(this->operatorFollower) || isOverdue(this->upstreamFollower);
    if (!isNeeded || now < this->nextQuery)
        return;
    this->nextQuery = now + peerQueryInterval;
    this->handlers.queryPeer(this->makeQuery());
}

Wire::StoreCacheQuery StoreSynchronizer::makeQuery() const
{
    return { this->operatorRecords.end(), this->upstreamRecords.end(), this->era,
        Foundation::toMilliseconds(this->bootClock.now().time_since_epoch()) };
}

std::optional<TimePoint> StoreSynchronizer::sendTimeOf(const Wire::StoreCacheReply& reply)
{
    const TimePoint now = this->bootClock.now();
    if (reply.sender.empty())
        return now;
    const auto sent = this->transits.record(reply.sender, TimePoint(std::chrono::milliseconds(reply.sentMs)), now);
    const TimePoint querySent { std::chrono::milliseconds(reply.querySentMs) };
    // An answer was sent after its query, and usually within a ms.
    return reply.querySentMs > 0 && querySent <= now ? querySent : sent;
}

void StoreSynchronizer::onReply(Wire::StoreCacheReply reply)
{
    const std::optional<TimePoint> sendTime = this->sendTimeOf(reply);
    if (!reply.hasCachedState || reply.era < this->era)
        return;
    this->beginEra(reply.era);
    reply.operatorUpdate.era = reply.upstreamUpdate.era = reply.era;
    this->peerPolicyVersion = std::max(this->peerPolicyVersion, reply.policyVersion);
    if (reply.isSettled)
        this->startCheck.recordSettled();
    const std::uint64_t endBefore = this->operatorRecords.end();
    const TimePoint now = this->clock.now();
    const TimePoint sent = now - (sendTime ? this->bootClock.now() - *sendTime : Duration::zero());
    this->applyPeerOutage(reply, sent);
    // This gateway missed an update if it was not connected at the time. Merging a later one would mark the missed
    // records as read, so the whole range is queried instead.
    if (this->operatorRecords.hasGapBefore(reply.operatorUpdate)
        || this->upstreamRecords.hasGapBefore(reply.upstreamUpdate)) {
        this->nextQuery = now + peerQueryInterval;
        this->handlers.queryPeer(this->makeQuery());
        return;
    }
    this->isMergingCopy = this->upstreamFollower.isCopyUnread;
    for (Follower* const follower : { &this->operatorFollower, &this->upstreamFollower }) {
        if (std::exchange(follower->isCopyUnread, false))
            this->beginSettling(*follower);
    }
    const bool hasNewListing
        = reply.upstreamUpdate.isListing() && reply.upstreamUpdate.end > this->upstreamRecords.end();
    this->operatorRecords.merge(reply.operatorUpdate);
    // The sender publishes these records to all domain peers, so they are not published again from here.
    std::vector<StoreCache::KeyedRecord> ownChanges = std::exchange(this->upstreamChanges, {});
    this->upstreamRecords.merge(reply.upstreamUpdate);
    this->isMergingCopy = false;
    std::erase_if(
        this->upstreamChanges, [this](const auto& change) { return change.offset < this->upstreamRecords.end(); });
    ownChanges.insert(ownChanges.end(), this->upstreamChanges.begin(), this->upstreamChanges.end());
    this->upstreamChanges = std::move(ownChanges);
    this->upstreamEndPublished = this->upstreamRecords.end();
    const auto recordAge = [&](Follower& follower, std::int64_t peerAgeMs) {
        follower.isListed = true;
        if (sendTime)
            recordCurrent(follower, sent - std::chrono::milliseconds(peerAgeMs));
    };
    recordAge(this->operatorFollower, reply.operatorAgeMs);
    recordAge(this->upstreamFollower, reply.upstreamAgeMs);
    applyPart(this->suspectFollower, reply.suspects, reply.era, sent);
    applyPart(this->peerFollower, reply.peers, reply.era, sent);
    if (sendTime && !this->isPossiblyOldCopy())
        this->freshness.recordCurrentAsOf(
            *sendTime - networkDelayAllowance - std::chrono::milliseconds(reply.operatorAgeMs));
    this->metrics.counter("bluebell_knowledge_from_peers_total").fetch_add(1);
    if (hasNewListing || this->operatorRecords.end() > endBefore)
        logEvent(Event::KnowledgeFromPeer, "",
            describe("operator", reply.operatorUpdate) + " " + describe("upstreams", reply.upstreamUpdate)
                + " age_ms=" + std::to_string(reply.operatorAgeMs));
    this->tick();
}

Wire::StoreCacheReply StoreSynchronizer::answerQuery(const Wire::StoreCacheQuery& query) const
{
    Wire::StoreCacheReply reply;
    const auto age = this->cacheAge();
    reply.hasCachedState = age && this->operatorFollower.isListed && this->upstreamFollower.isListed;
    if (!reply.hasCachedState)
        return reply;
    reply.sender = this->incarnation;
    reply.sentMs = Foundation::toMilliseconds(this->bootClock.now().time_since_epoch());
    reply.querySentMs = query.sentMs;
    reply.era = this->era;
    reply.isSettled = !this->isPossiblyOldCopy();
    reply.policyVersion = this->policy() ? this->policy()->version() : 0;
    // Offsets of another era say nothing here, so the sender gets all records.
    const bool isSameEra = query.era == this->era;
    reply.operatorUpdate = this->operatorRecords.updateFrom(isSameEra ? query.operatorEnd : 0);
    reply.upstreamUpdate = this->upstreamRecords.updateFrom(isSameEra ? query.upstreamEnd : 0);
    reply.operatorAgeMs = Foundation::toMilliseconds(*age) + 1;
    reply.upstreamAgeMs = ageMs(this->upstreamFollower, this->clock.now()) + 1;
    const Duration grace = this->upstreamDirectory.graceEnd() - this->clock.now();
    reply.graceMs = std::max<std::int64_t>(0, Foundation::toMilliseconds(grace));
    const TimePoint now = this->clock.now();
    reply.upstreamCurrentForMs = Foundation::toMilliseconds(now - this->upstreamFollower.currentSince);
    if (this->upstreamFollower.awaySince)
        reply.upstreamAwayMs = Foundation::toMilliseconds(now - *this->upstreamFollower.awaySince);
    return reply;
}

} // namespace Gateway
