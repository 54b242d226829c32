#include "partcrashstore.h"

#include <foundation/identifier.h>
#include <foundation/logging.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Quarantine::CrashCertainty;
using Quarantine::PartCrash;
using Quarantine::PromptPart;

constexpr std::string_view keyPrefix = "part/";
// A part that occurs in one crash only is most likely a bystander's.
constexpr std::size_t repeatedCrashes = 2;
// As many as a cause needs, and some that may turn out to be other crashes.
constexpr std::size_t storedCrashesPerPart = 8;
constexpr std::size_t maximumKeys = 64;
constexpr std::size_t maximumObserved = 1024;
// Further notices of a crash arrive within this time, so that it is written once or twice.
constexpr Duration updateInterval = std::chrono::milliseconds(200);
constexpr const char* crashField = "crash";
constexpr const char* certaintyField = "partCertainty";
constexpr const char* aliveField = "aliveMs";
constexpr const char* lostField = "lostMs";
constexpr const char* partsField = "parts";

// The name of a crash is as long as the upstream's id, and a key of the store has 255 bytes at most.
std::string makeKey(std::string_view crash)
{
    return std::string(keyPrefix) + std::to_string(Foundation::hash64(crash));
}

std::int64_t toEpochMs(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

bool isValid(const nlohmann::json& fields)
{
    const auto isInteger
        = [&fields](const char* key) { return fields.contains(key) && fields[key].is_number_integer(); };
    return fields.is_object() && fields.contains(crashField) && fields[crashField].is_string()
        && isInteger(certaintyField) && isInteger(aliveField) && isInteger(lostField) && fields.contains(partsField)
        && fields[partsField].is_array()
        && std::ranges::all_of(fields[partsField], [](const auto& part) { return part.is_number_unsigned(); });
}

CrashCertainty decodeCertainty(std::int64_t number)
{
    return number == static_cast<std::int64_t>(CrashCertainty::Confirmed) ? CrashCertainty::Confirmed
                                                                          : CrashCertainty::Suspected;
}

} // namespace

PartCrashStore::PartCrashStore(SuspectTopicWriter& writer, const Foundation::Clock& clock,
    const Foundation::WallClock& wallClock, Quarantine::PromptPartRegistry& registry)
    : writer(writer)
    , clock(clock)
    , wallClock(wallClock)
    , registry(registry)
{
}

bool PartCrashStore::ownsKey(std::string_view key) { return key.starts_with(keyPrefix); }

void PartCrashStore::onObserved(const std::string& crash)
{
    if (this->observed.size() >= maximumObserved)
        this->observed.clear();
    this->observed.insert(crash);
}

void PartCrashStore::onRecord(const StoreCache::KeyedRecord& record)
{
    if (!record.value)
        return;
    const auto fields = nlohmann::json::parse(*record.value, nullptr, /* allow_exceptions */ false);
    if (!isValid(fields)) {
        logEvent(Event::EntryIgnored, "", "key=" + record.key + " offset=" + std::to_string(record.offset));
        return;
    }
    const Foundation::TimePoint now = this->clock.now();
    const std::int64_t nowMs = toEpochMs(this->wallClock.now());
    const auto toTime = [&](const char* field) {
        return now - std::chrono::milliseconds(std::max<std::int64_t>(0, nowMs - fields[field].get<std::int64_t>()));
    };
    const PartCrash crash { fields[crashField].get<std::string>(),
        decodeCertainty(fields[certaintyField].get<std::int64_t>()), toTime(aliveField), toTime(lostField),
        fields[partsField].get<std::vector<PromptPart>>() };
    if (now - crash.lostAt >= Quarantine::PromptPartRegistry::lifetime) {
        this->writer.queue(record.key, std::nullopt);
        return;
    }
    this->registry.record(crash);
}

void PartCrashStore::onNewEra()
{
    for (const auto& [key, value] : this->storedValues)
        this->writer.queue(key, value);
}

void PartCrashStore::tick()
{
    const Foundation::TimePoint now = this->clock.now();
    if (now < this->nextUpdate || this->observed.empty())
        return;
    this->nextUpdate = now + updateInterval;
    std::map<std::string, std::string> wanted = this->wantedValues();
    for (const auto& [key, value] : wanted) {
        const auto stored = this->storedValues.find(key);
        if (stored == this->storedValues.end() || stored->second != value)
            this->writer.queue(key, value);
    }
    for (const auto& [key, value] : this->storedValues) {
        if (!wanted.contains(key))
            this->writer.queue(key, std::nullopt);
    }
    this->storedValues = std::move(wanted);
}

std::map<std::string, std::string> PartCrashStore::wantedValues() const
{
    std::vector<PartCrash> crashes = this->registry.repeatedCrashes(repeatedCrashes);
    std::erase_if(crashes, [this](const PartCrash& crash) {
        return crash.certainty == CrashCertainty::Possible || !this->observed.contains(crash.crash);
    });
    // What is stored already stays, so that new crashes do not cause further writes.
    std::stable_partition(crashes.begin(), crashes.end(),
        [this](const PartCrash& crash) { return this->storedValues.contains(makeKey(crash.crash)); });
    std::unordered_map<PromptPart, std::size_t> countByPart;
    std::map<std::string, std::string> values;
    for (const PartCrash& crash : crashes) {
        const bool isNeeded = std::ranges::any_of(
            crash.parts, [&](PromptPart part) { return countByPart[part] < storedCrashesPerPart; });
        if (!isNeeded || values.size() >= maximumKeys)
            continue;
        for (const PromptPart part : crash.parts)
            ++countByPart[part];
        values[makeKey(crash.crash)] = this->encode(crash);
    }
    return values;
}

std::string PartCrashStore::encode(const PartCrash& crash) const
{
    // The times of a record must not change with the clock's drift, or it would be written again.
    const std::string key = makeKey(crash.crash);
    if (const auto stored = this->storedValues.find(key); stored != this->storedValues.end()) {
        auto fields = nlohmann::json::parse(stored->second);
        fields[certaintyField] = static_cast<int>(crash.certainty);
        fields[partsField] = crash.parts;
        return fields.dump();
    }
    const Foundation::TimePoint now = this->clock.now();
    const std::int64_t nowMs = toEpochMs(this->wallClock.now());
    return nlohmann::json {
        { crashField, crash.crash }, { certaintyField, static_cast<int>(crash.certainty) },
        { aliveField, nowMs - Foundation::toMilliseconds(now - crash.aliveAt) },
        { lostField, nowMs - Foundation::toMilliseconds(now - crash.lostAt) }, { partsField, crash.parts }
    }.dump();
}

} // namespace Gateway
