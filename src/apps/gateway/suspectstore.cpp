#include "suspectstore.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Quarantine::CrashCertainty;
using Quarantine::CrashNotice;

// A request is stored from this number of crashes on.
constexpr std::size_t repeatedCrashes = 2;
// Bounds the memory for what is queued and known while the store is away; bystanders are not stored.
constexpr std::size_t maximumKeys = 4096;
// Longer than a copy of the store may be old and a write may be executed late.
constexpr Duration removalRetention = std::chrono::minutes(1);
// The clocks of the gateways differ by less than this. A request that was found harmless is not stored again for
// longer.
constexpr std::int64_t maximumClockSkewMs = 5'000;
constexpr char keySeparator = '/';
constexpr const char* crashField = "crash";
constexpr const char* certaintyField = "certainty";
constexpr const char* timeField = "recordedMs";

std::string keyPrefix(std::string_view fingerprint) { return std::string(fingerprint) + keySeparator; }

// The name of a crash is as long as the upstream's id, and a key of the store has 255 bytes at most.
std::string makeKey(const CrashNotice& notice)
{
    return keyPrefix(notice.fingerprint) + std::to_string(Foundation::hash64(notice.crash));
}

CrashCertainty decodeCertainty(int number)
{
    if (number == static_cast<int>(CrashCertainty::Possible))
        return CrashCertainty::Possible;
    return number == static_cast<int>(CrashCertainty::Confirmed) ? CrashCertainty::Confirmed
                                                                 : CrashCertainty::Suspected;
}

std::int64_t toEpochMs(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

SuspectStore::SuspectStore(SuspectTopicWriter& writer, const Foundation::Clock& clock,
    const Foundation::WallClock& wallClock, Quarantine::SuspectRegistry& suspects)
    : writer(writer)
    , clock(clock)
    , wallClock(wallClock)
    , suspects(suspects)
{
}

void SuspectStore::onRecorded(std::string_view fingerprint, bool isObservedHere)
{
    if (isObservedHere) {
        if (this->observed.size() >= maximumKeys)
            this->observed.clear();
        this->observed.emplace(fingerprint);
    }
    if (!this->observed.contains(fingerprint))
        return;
    const std::vector<CrashNotice> notices = this->suspects.openNotices(fingerprint);
    if (notices.size() < repeatedCrashes)
        return;
    for (const CrashNotice& notice : notices) {
        if (this->storedKeys.size() >= maximumKeys)
            return;
        const std::string key = makeKey(notice);
        const auto [stored, isNew] = this->storedKeys.try_emplace(key, notice.certainty);
        const bool isRaised = stored->second == CrashCertainty::Possible && notice.certainty > stored->second;
        if (!isNew && !isRaised)
            continue;
        stored->second = notice.certainty;
        this->removedKeys.erase(key);
        this->writer.queue(key, this->encode(notice));
    }
    this->writer.tick();
}

void SuspectStore::remove(std::string_view fingerprint)
{
    const std::string prefix = keyPrefix(fingerprint);
    for (auto next = this->storedKeys.lower_bound(prefix);
         next != this->storedKeys.end() && next->first.starts_with(prefix);) {
        this->writer.queue(next->first, std::nullopt);
        this->recordRemoval(next->first, /* isOwn */ true);
        next = this->storedKeys.erase(next);
    }
    this->writer.tick();
    const auto found = this->observed.find(fingerprint);
    if (found != this->observed.end())
        this->observed.erase(found);
}

void SuspectStore::removeObserved(std::string_view fingerprint)
{
    if (this->observed.contains(fingerprint))
        this->remove(fingerprint);
}

void SuspectStore::onNewEra(Duration delay)
{
    const Foundation::TimePoint now = this->clock.now();
    std::erase_if(
        this->removedKeys, [now](const auto& removed) { return now - removed.second.time >= removalRetention; });
    for (const auto& [key, removal] : this->removedKeys) {
        if (removal.isOwn)
            this->writer.queue(key, std::nullopt);
    }
    for (const std::string& fingerprint : this->observed) {
        for (const CrashNotice& notice : this->suspects.openNotices(fingerprint)) {
            const std::string key = makeKey(notice);
            if (this->storedKeys.contains(key))
                this->writer.queue(key, this->encode(notice));
        }
    }
    this->writer.postpone(delay);
}

void SuspectStore::onRecord(const StoreCache::KeyedRecord& record)
{
    const std::string fingerprint = record.key.substr(0, record.key.find(keySeparator));
    // A copy of the store may bring back what was removed since; the removal is written again.
    this->era = std::max(this->era, record.era);
    const auto removed = this->removedKeys.find(record.key);
    if (record.value && removed != this->removedKeys.end() && record.era > removed->second.era)
        return;
    if (!record.value) {
        this->recordRemoval(record.key, /* isOwn */ false);
        this->storedKeys.erase(record.key);
        this->suspects.exonerate(fingerprint);
        return;
    }
    const auto fields = nlohmann::json::parse(*record.value, nullptr, /* allow_exceptions */ false);
    const bool isValid = fields.is_object() && fields.contains(crashField) && fields[crashField].is_string()
        && fields.contains(certaintyField) && fields[certaintyField].is_number_integer() && fields.contains(timeField)
        && fields[timeField].is_number_integer();
    if (!isValid) {
        logEvent(Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset));
        return;
    }
    if (this->isRemoved(record, fields[timeField].get<std::int64_t>()))
        return;
    const CrashCertainty certainty = decodeCertainty(fields[certaintyField].get<int>());
    this->storedKeys[record.key] = certainty;
    const Duration age = std::chrono::milliseconds(
        std::max<std::int64_t>(0, toEpochMs(this->wallClock.now()) - fields[timeField].get<std::int64_t>()));
    if (age >= Quarantine::SuspectRegistry::lifetime) {
        this->storedKeys.erase(record.key);
        this->writer.queue(record.key, std::nullopt);
        return;
    }
    const CrashNotice notice { fingerprint, fields[crashField].get<std::string>(), certainty };
    // Whether the upstream of a suspected crash has ended is decided from the list of upstreams, as of now.
    const bool isNew = this->suspects.record(notice, certainty == CrashCertainty::Suspected ? Duration::zero() : age);
    if (isNew && certainty != CrashCertainty::Possible)
        logEvent(Event::SuspectAdded, "",
            "fingerprint=" + fingerprint + " crash=" + notice.crash
                + " ending=stored crashes=" + std::to_string(this->suspects.crashCount(fingerprint)));
}

void SuspectStore::recordRemoval(const std::string& key, bool isOwn)
{
    const Foundation::TimePoint now = this->clock.now();
    std::erase_if(
        this->removedKeys, [now](const auto& removed) { return now - removed.second.time >= removalRetention; });
    const auto [removal, isNew] = this->removedKeys.try_emplace(key);
    // The removal of this process is read again from the store.
    if (isNew || isOwn)
        removal->second = { now, this->era, toEpochMs(this->wallClock.now()), isOwn };
}

bool SuspectStore::isRemoved(const StoreCache::KeyedRecord& record, std::int64_t recordedMs)
{
    const auto removed = this->removedKeys.find(record.key);
    if (removed == this->removedKeys.end() || recordedMs > removed->second.wallTimeMs + maximumClockSkewMs)
        return false;
    logEvent(
        Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset) + " reason=late");
    if (removed->second.isOwn) {
        this->writer.queue(record.key, std::nullopt);
        this->writer.tick();
    }
    return true;
}

std::string SuspectStore::encode(const CrashNotice& notice) const
{
    return nlohmann::json {
        { crashField, notice.crash }, { certaintyField, static_cast<int>(notice.certainty) },
        { timeField, toEpochMs(this->wallClock.now()) }
    }.dump();
}

} // namespace Gateway
