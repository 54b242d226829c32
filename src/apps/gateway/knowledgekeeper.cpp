#include "knowledgekeeper.h"

#include <foundation/logging.h>

#include "platform/policydecoder.h"
#include "platform/upstreamdecoder.h"

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using Knowledge::KeyedRecord;
using Membership::UpstreamDirectory;

// The operator's topic changes rarely: the store holds the call until it does. A connection that went silent is
// noticed after this time and the store's answer timeout, within the time that a change may take.
constexpr Duration operatorWait = std::chrono::milliseconds(1'000);
// The upstreams' topic gets a record from each upstream at each heartbeat, so waiting there would return at once. An
// upstream may be used for 2 s after it says that it leaves.
constexpr Duration upstreamPause = std::chrono::milliseconds(450);
// Gateways come and go rarely, and they tell each other their addresses.
constexpr Duration peerWait = std::chrono::seconds(15);
// When many start together, their records are read together.
constexpr Duration peerPause = std::chrono::milliseconds(1'500);
// One gateway of a failure domain reads for all. Another one reads if it was told nothing for so much longer than the
// reader needs, and so much longer again for each of three that come before it.
constexpr Duration rankDelay = std::chrono::milliseconds(300);
constexpr std::size_t mostRankDelays = 3;
// The way between two gateways, for the age of what one tells.
constexpr Duration wayAllowance = std::chrono::milliseconds(20);
// The pause after a failed read. It doubles with each further failure: for those who would read for their neighbours up
// to a time that leaves enough of what a change may take, for others, who are told, up to a longer one.
constexpr Duration failurePause = std::chrono::milliseconds(250);
constexpr Duration longestFailurePauseOfReader = std::chrono::milliseconds(500);
constexpr Duration longestFailurePause = std::chrono::seconds(2);
// Gateways of a failure domain that keep trying at the short pause while the store is away.
constexpr std::size_t readersInOutage = 2;
// Without an answer of the store for this long, another gateway is asked, and asked again at the interval.
constexpr Duration askAfter = std::chrono::milliseconds(900);
constexpr Duration askInterval = std::chrono::milliseconds(400);
// Entries that lapsed in an outage are back about two seconds after its end.
constexpr Duration lapseGrace = std::chrono::milliseconds(2'500);
// An outage shorter than this makes no entry lapse.
constexpr Duration outageMinimum = std::chrono::milliseconds(800);
// The part of the time in which a revoked key must be out of use that knowledge may be old; the rest is for requests
// that were accepted just before.
constexpr double keyAgeShare = 0.85;

std::string ageText(std::optional<Duration> age)
{
    return age ? std::to_string(Foundation::toMilliseconds(*age)) : std::string("unknown");
}

const char* wordOf(UpstreamDirectory::Change change)
{
    switch (change) {
    case UpstreamDirectory::Change::Added:
        return "added";
    case UpstreamDirectory::Change::Restarted:
        return "restarted";
    case UpstreamDirectory::Change::Drained:
        return "drained";
    case UpstreamDirectory::Change::Missing:
        return "missing";
    case UpstreamDirectory::Change::Removed:
        return "removed";
    }
    return "";
}

Event eventOf(UpstreamDirectory::Change change)
{
    switch (change) {
    case UpstreamDirectory::Change::Added:
    case UpstreamDirectory::Change::Restarted:
        return Event::UpstreamListed;
    case UpstreamDirectory::Change::Drained:
        return Event::UpstreamDraining;
    case UpstreamDirectory::Change::Missing:
        return Event::UpstreamMissing;
    case UpstreamDirectory::Change::Removed:
        return Event::UpstreamRemoved;
    }
    return Event::UpstreamListed;
}

} // namespace

KnowledgeKeeper::KnowledgeKeeper(Platform::HttpTransfers& transfers, const Foundation::Clock& clock,
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
    , policyCell(nullptr)
    , upstreamDirectory([this](UpstreamDirectory::Change change, const Membership::Upstream& upstream) {
        this->onUpstreamChange(change, upstream);
    })
{
    this->operatorFollower.topic = PlatformAdapter::Topic::operatorRecords;
    this->operatorFollower.records = &this->operatorRecords;
    this->operatorFollower.wait = operatorWait;
    this->upstreamFollower.topic = PlatformAdapter::Topic::upstreams;
    this->upstreamFollower.records = &this->upstreamRecords;
    this->upstreamFollower.pause = upstreamPause;
    this->peerFollower.topic = PlatformAdapter::Topic::peers;
    this->peerFollower.records = &this->peerRecords;
    this->peerFollower.wait = peerWait;
    this->peerFollower.pause = peerPause;
}

void KnowledgeKeeper::start()
{
    const TimePoint now = this->clock.now();
    for (Follower* const follower : { &this->operatorFollower, &this->upstreamFollower, &this->peerFollower }) {
        follower->lastSuccess = now;
        follower->lastKnown = now;
        follower->nextRead = now;
    }
    this->tick();
}

void KnowledgeKeeper::restart()
{
    for (Follower* const follower : { &this->operatorFollower, &this->upstreamFollower, &this->peerFollower }) {
        ++follower->generation;
        follower->isReading = false;
        follower->nextRead = this->clock.now();
    }
}

void KnowledgeKeeper::setSettings(const GatewaySettings& newSettings)
{
    this->settings = newSettings;
    this->store.setAddress(newSettings.node.storeAddress);
}

void KnowledgeKeeper::tick()
{
    const TimePoint now = this->clock.now();
    this->registerSelf();
    for (Follower* const follower : { &this->operatorFollower, &this->upstreamFollower, &this->peerFollower }) {
        if (this->isDue(*follower))
            this->read(*follower);
    }
    this->askPeerIfDue();
    this->upstreamDirectory.expire(now);
    const bool isStale = this->policy() && !this->mayAcceptKeys();
    if (isStale && !this->wasStale)
        logEvent(Event::KnowledgeStale, "", "age_ms=" + ageText(this->age()));
    this->wasStale = isStale;
    if (std::exchange(this->hasChanged, false))
        this->handlers.onChange();
}

bool KnowledgeKeeper::isDue(const Follower& follower) const
{
    const TimePoint now = this->clock.now();
    if (follower.isReading || now < follower.nextRead)
        return false;
    const std::size_t rank = this->handlers.rank();
    if (!follower.isListed || rank == 0 || &follower == &this->peerFollower)
        return true;
    const int turns = static_cast<int>(std::min(rank, mostRankDelays));
    return now - follower.lastKnown >= follower.wait + follower.pause + turns * rankDelay;
}

std::int64_t KnowledgeKeeper::ageOf(const Follower& follower, TimePoint now)
{
    return Foundation::toMilliseconds(now - follower.lastKnown);
}

void KnowledgeKeeper::registerSelf()
{
    const TimePoint now = this->clock.now();
    if (this->isRegistered || this->isRegistering || now < this->nextRegistration || !this->peerFollower.isListed)
        return;
    // A record wakes every gateway that waits for one, so what an earlier run wrote is not written again.
    const auto listed = this->peerAddresses.find(this->settings.node.name);
    if (listed != this->peerAddresses.end() && listed->second == this->settings.node.peers.text()) {
        this->isRegistered = true;
        return;
    }
    this->isRegistering = true;
    this->nextRegistration = now + failurePause * 4;
    const auto& node = this->settings.node;
    this->store.append(PlatformAdapter::Topic::peers, node.name, node.peers.text(), [this](bool isDone) {
        this->isRegistering = false;
        this->isRegistered = isDone;
    });
}

void KnowledgeKeeper::read(Follower& follower)
{
    follower.isReading = true;
    const TimePoint sent = this->bootClock.now();
    const std::uint64_t generation = follower.generation;
    if (!follower.isListed) {
        this->store.readListing(follower.topic, [this, &follower, sent, generation](auto listing) {
            if (generation != follower.generation)
                return;
            if (!listing) {
                this->onFailure(follower, listing.error().message);
                return;
            }
            follower.isListed = true;
            this->noteSuccess(follower);
            follower.records->mergeListing(std::move(listing.value().records), listing.value().end);
            this->onRead(follower, sent, {});
        });
        return;
    }
    this->store.readRun(
        follower.topic, follower.records->end(), follower.wait, [this, &follower, sent, generation](auto run) {
            if (generation != follower.generation)
                return;
            if (!run) {
                this->onFailure(follower, run.error().message);
                return;
            }
            this->noteSuccess(follower);
            if (run.value().hasExpired) {
                follower.isListed = false;
                follower.isReading = false;
                logEvent(Event::StoreHistoryLost, "", "topic=" + follower.topic);
                return;
            }
            // If the store waited to the end, nothing was written until then.
            const bool isEmpty = run.value().records.empty();
            follower.records->mergeRun(std::move(run.value().records), run.value().end);
            this->onRead(follower, sent, isEmpty ? follower.wait : Duration::zero());
        });
}

void KnowledgeKeeper::onRead(Follower& follower, TimePoint sent, Duration served)
{
    follower.isReading = false;
    follower.nextRead = this->clock.now() + follower.pause;
    if (&follower == &this->operatorFollower)
        this->freshness.noteKnownUntil(std::min(sent + served, this->bootClock.now()));
    if (&follower != &this->peerFollower)
        this->tellNeighbours();
    this->tick();
}

void KnowledgeKeeper::tellNeighbours()
{
    Wire::KnowledgeReply news = this->answer({ this->operatorEndTold, this->upstreamRecords.end() });
    if (!news.isKnown)
        return;
    news.upstreamRecords = std::exchange(this->upstreamChanges, {});
    news.upstreamFrom = this->upstreamEndTold;
    this->operatorEndTold = news.operatorEnd;
    this->upstreamEndTold = news.upstreamEnd;
    this->handlers.tellNeighbours(news);
}

void KnowledgeKeeper::noteSuccess(Follower& follower)
{
    const TimePoint now = this->clock.now();
    const bool wasAway = now - follower.lastSuccess >= outageMinimum + follower.pause + follower.wait;
    if (follower.isFailing)
        logEvent(Event::LogAvailable, "",
            "topic=" + follower.topic
                + " away_ms=" + std::to_string(Foundation::toMilliseconds(now - follower.lastSuccess)));
    if (follower.isFailing && wasAway && &follower == &this->upstreamFollower)
        this->upstreamDirectory.noteOutage(now + lapseGrace);
    follower.isFailing = false;
    follower.failures = 0;
    follower.lastSuccess = now;
    follower.lastKnown = now;
}

void KnowledgeKeeper::onFailure(Follower& follower, std::string_view reason)
{
    follower.isReading = false;
    const bool isReader = &follower != &this->peerFollower && this->handlers.rank() < readersInOutage;
    follower.nextRead = this->clock.now()
        + Foundation::doublingPause(
            failurePause, isReader ? longestFailurePauseOfReader : longestFailurePause, ++follower.failures);
    this->metrics.counter("bluebell_store_failures_total").fetch_add(1);
    if (!follower.isFailing)
        logEvent(Event::LogUnavailable, "", "topic=" + follower.topic + " reason=" + std::string(reason));
    follower.isFailing = true;
}

void KnowledgeKeeper::askPeerIfDue()
{
    const TimePoint now = this->clock.now();
    const auto isAway = [now](const Follower& follower) {
        return now - follower.lastKnown > askAfter + follower.wait + follower.pause;
    };
    const bool isNeeded = isAway(this->operatorFollower) || isAway(this->upstreamFollower);
    if (!isNeeded || now < this->nextQuery)
        return;
    this->nextQuery = now + askInterval;
    this->handlers.askPeer({ this->operatorRecords.end(), this->upstreamRecords.end() });
}

void KnowledgeKeeper::onReply(const Wire::KnowledgeReply& reply)
{
    if (!reply.isKnown)
        return;
    const std::uint64_t endBefore = this->operatorRecords.end();
    const TimePoint now = this->clock.now();
    // A gateway that was not connected when its neighbours were told something must not take what follows for all.
    if (reply.operatorFrom > endBefore || reply.upstreamFrom > this->upstreamRecords.end()) {
        this->nextQuery = now + askInterval;
        this->handlers.askPeer({ endBefore, this->upstreamRecords.end() });
        return;
    }
    if (reply.graceMs > 0)
        this->upstreamDirectory.noteOutage(now + std::chrono::milliseconds(reply.graceMs));
    this->operatorRecords.mergeRun(reply.operatorRecords, reply.operatorEnd);
    // What one neighbour tells the others need not be told again.
    const std::size_t changesHere = this->upstreamChanges.size();
    this->upstreamRecords.mergeRun(reply.upstreamRecords, reply.upstreamEnd);
    this->upstreamChanges.resize(changesHere);
    this->upstreamEndTold = this->upstreamRecords.end();
    const auto note = [now](Follower& follower, std::int64_t ageMs) {
        follower.isListed = true;
        follower.lastKnown = std::max(follower.lastKnown, now - std::chrono::milliseconds(ageMs));
    };
    note(this->operatorFollower, reply.operatorAgeMs);
    note(this->upstreamFollower, reply.upstreamAgeMs);
    this->freshness.noteKnownUntil(
        this->bootClock.now() - wayAllowance - std::chrono::milliseconds(reply.operatorAgeMs));
    this->metrics.counter("bluebell_knowledge_from_peers_total").fetch_add(1);
    if (reply.operatorEnd > endBefore)
        logEvent(Event::KnowledgeFromPeer, "",
            "operator_end=" + std::to_string(reply.operatorEnd) + " age_ms=" + std::to_string(reply.operatorAgeMs));
    this->tick();
}

Wire::KnowledgeReply KnowledgeKeeper::answer(const Wire::KnowledgeQuery& query) const
{
    Wire::KnowledgeReply reply;
    const auto known = this->age();
    reply.isKnown = known && this->operatorFollower.isListed && this->upstreamFollower.isListed;
    if (!reply.isKnown)
        return reply;
    reply.operatorRecords = this->operatorRecords.newerThan(query.operatorEnd);
    reply.upstreamRecords = this->upstreamRecords.newerThan(query.upstreamEnd);
    reply.operatorFrom = query.operatorEnd;
    reply.upstreamFrom = query.upstreamEnd;
    reply.operatorEnd = this->operatorRecords.end();
    reply.upstreamEnd = this->upstreamRecords.end();
    reply.operatorAgeMs = Foundation::toMilliseconds(*known) + 1;
    reply.upstreamAgeMs = ageOf(this->upstreamFollower, this->clock.now()) + 1;
    const Duration grace = this->upstreamDirectory.graceEnd() - this->clock.now();
    reply.graceMs = std::max<std::int64_t>(0, Foundation::toMilliseconds(grace));
    return reply;
}

bool KnowledgeKeeper::mayAcceptKeys() const
{
    const auto known = this->age();
    return known
        && Foundation::toSeconds(*known) <= keyAgeShare * Foundation::toSeconds(this->settings.node.keyRevocation);
}

bool KnowledgeKeeper::maybeOutdated() const
{
    const auto known = this->age();
    return !known || *known > this->settings.node.policyDelay;
}

void KnowledgeKeeper::onOperatorRecord(const KeyedRecord& record)
{
    this->hasChanged = true;
    if (record.key == PlatformAdapter::documentKey)
        this->takePolicy(record);
    else if (record.key.starts_with(PlatformAdapter::evacuationPrefix))
        this->updateEvacuated();
}

void KnowledgeKeeper::takePolicy(const KeyedRecord& record)
{
    if (!record.value)
        return;
    auto decoded = PlatformAdapter::decodePolicy(*record.value);
    const auto current = this->policy();
    const std::string where = "offset=" + std::to_string(record.offset);
    if (!decoded) {
        logEvent(Event::ConfigurationRejected, "", where + " reason=" + decoded.error().message);
        return;
    }
    if (current && decoded.value()->version() < current->version()) {
        logEvent(Event::ConfigurationRejected, "",
            where + " reason=older version=" + std::to_string(decoded.value()->version()));
        return;
    }
    const std::string version = std::to_string(decoded.value()->version());
    this->policyCell.publish(std::move(decoded.value()));
    logEvent(Event::ConfigurationInForce, "", "version=" + version + " " + where + " age_ms=" + ageText(this->age()));
}

void KnowledgeKeeper::updateEvacuated()
{
    std::set<std::string, std::less<>> domains;
    std::string names;
    for (const auto& [key, record] : this->operatorRecords.all()) {
        if (!record.value || !key.starts_with(PlatformAdapter::evacuationPrefix))
            continue;
        domains.insert(key.substr(PlatformAdapter::evacuationPrefix.size()));
        names += (names.empty() ? "" : ",") + key.substr(PlatformAdapter::evacuationPrefix.size());
    }
    this->upstreamDirectory.setEvacuated(std::move(domains));
    logEvent(Event::EvacuationChanged, "", "failure_domains=" + names);
}

void KnowledgeKeeper::onUpstreamRecord(const KeyedRecord& record)
{
    const TimePoint now = this->clock.now();
    const auto entry = record.value ? PlatformAdapter::decodeUpstream(record.key, *record.value) : std::nullopt;
    const std::uint64_t digest = entry ? Membership::digestOf(*entry) : 0;
    if (std::exchange(this->upstreamDigests[record.key], digest) == digest && entry)
        return;
    this->hasChanged = true;
    this->upstreamChanges.push_back(record);
    if (!record.value) {
        this->upstreamDirectory.remove(record.key, now);
        return;
    }
    if (entry) {
        this->upstreamDirectory.update(*entry, now);
        return;
    }
    this->metrics.counter("bluebell_ignored_entries_total").fetch_add(1);
    logEvent(Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset));
    this->upstreamDirectory.remove(record.key, now);
}

void KnowledgeKeeper::onPeerRecord(const KeyedRecord& record)
{
    if (record.value)
        this->peerAddresses[record.key] = *record.value;
    else
        this->peerAddresses.erase(record.key);
    this->handlers.onPeers(this->peerAddresses);
}

void KnowledgeKeeper::onUpstreamChange(UpstreamDirectory::Change change, const Membership::Upstream& upstream) const
{
    logEvent(eventOf(change), "",
        "upstream=" + upstream.runName() + " change=" + wordOf(change) + " service=" + upstream.entry.service
            + " address=" + upstream.entry.address + " domain=" + upstream.entry.failureDomain);
    if (change == UpstreamDirectory::Change::Removed)
        this->handlers.onUpstreamGone(upstream.runName());
}

} // namespace Gateway
