#include "suspectregistry.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace Quarantine {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

constexpr std::size_t maximumSuspects = 4096;
// A crash that is not confirmed counts for this time. It outlasts an outage of the store, during which the end of an
// upstream cannot be seen; after a partition, requests that only timed out soon run again.
constexpr Duration unconfirmedLifetime = std::chrono::seconds(60);
// After this time a quarantined request runs again, in case its crashes had another cause. With each further crash the
// time grows so much that three more runs take five hours.
constexpr Duration initialQuarantineTime = std::chrono::minutes(15);
constexpr int quarantineGrowth = 4;
// Several upstreams that fail at once may all hold a request that many callers send alike. It goes on to run, and the
// next one that ends clears it.
constexpr Duration completionLifetime = std::chrono::seconds(10);
// A request that many callers send alike shares the fate of each upstream that ends, and completes nowhere while all of
// them are silent. For this time only upstreams that have ended count against it, not those that are merely silent.
constexpr Duration repeatedCompletionLifetime = std::chrono::seconds(60);
constexpr std::size_t repeatedCompletions = 2;
// A generation that another process named may not be listed here yet.
constexpr Duration listingDelay = std::chrono::seconds(2);
// Going through all suspects costs too much to be done with each notice.
constexpr Duration expiryInterval = std::chrono::seconds(1);
constexpr char numberSeparator = '#';

int numberOf(std::string_view crash)
{
    const std::size_t separator = crash.rfind(numberSeparator);
    int number = 1;
    if (separator != std::string_view::npos)
        std::from_chars(crash.data() + separator + 1, crash.data() + crash.size(), number);
    return number;
}

std::string makeCrashName(std::string_view generation, int number)
{
    std::string name(generation);
    if (number > 1)
        name += numberSeparator + std::to_string(number);
    return name;
}

} // namespace

/**
 * @class SuspectRegistry
 * Tracks which requests were running when upstreams crashed. After one crash, a request is only a suspect, since any
 * request that happened to run at the same time looks the same. Whoever loses an attempt cannot tell a crash from a
 * lost connection, a slow upstream or a partition. So a notice says how certain the crash is, and the end of the
 * upstream's generation confirms it.
 */
SuspectRegistry::SuspectRegistry(const Foundation::Clock& clock, std::size_t crashLimit)
    : clock(clock)
    , crashLimit(crashLimit)
{
}

bool SuspectRegistry::record(const CrashNotice& notice, Duration age)
{
    const TimePoint now = this->clock.now();
    if (age >= (notice.certainty == CrashCertainty::Confirmed ? lifetime : unconfirmedLifetime))
        return false;
    if (now >= this->nextExpiry || this->suspects.size() >= maximumSuspects)
        this->removeExpired();
    if (notice.certainty != CrashCertainty::Possible)
        this->recordGenerationCrash(notice.crash);
    Suspect& suspect = this->suspects[notice.fingerprint];
    suspect.lastNotice = std::max(suspect.lastNotice, now - age);
    const auto [found, isNew] = suspect.crashes.try_emplace(notice.crash, Crash { notice.certainty, now - age });
    if (isNew)
        return true;
    if (found->second.certainty >= notice.certainty)
        return false;
    found->second.certainty = notice.certainty;
    return true;
}

void SuspectRegistry::recordGenerationCrash(std::string_view crash)
{
    GenerationCrash& newest = this->generationCrashes[std::string(generationOf(crash))];
    if (newest.number < numberOf(crash))
        newest = { numberOf(crash), this->clock.now(), false };
}

std::optional<std::string> SuspectRegistry::crashName(std::string_view generation, TimePoint sentAt) const
{
    const auto found = this->generationCrashes.find(generation);
    if (found == this->generationCrashes.end())
        return std::string(generation);
    const GenerationCrash& newest = found->second;
    if (sentAt <= newest.recordedAt)
        return makeCrashName(generation, newest.number);
    if (!newest.hasAnsweredSince)
        return std::nullopt;
    return makeCrashName(generation, newest.number + 1);
}

void SuspectRegistry::recordAnswer(std::string_view generation)
{
    const auto found = this->generationCrashes.find(generation);
    if (found != this->generationCrashes.end())
        found->second.hasAnsweredSince = true;
}

std::string_view SuspectRegistry::generationOf(std::string_view crash)
{
    return crash.substr(0, crash.rfind(numberSeparator));
}

std::vector<CrashNotice> SuspectRegistry::suspectGeneration(std::string_view generation)
{
    std::vector<CrashNotice> raised;
    for (auto& [fingerprint, suspect] : this->suspects) {
        for (auto& [name, crash] : suspect.crashes) {
            if (crash.certainty != CrashCertainty::Possible || !this->isValid(crash)
                || generationOf(name) != generation)
                continue;
            crash.certainty = CrashCertainty::Suspected;
            this->recordGenerationCrash(name);
            raised.push_back({ fingerprint, name, crash.certainty });
        }
    }
    return raised;
}

std::vector<CrashNotice> SuspectRegistry::confirmEnded(const std::function<bool(std::string_view)>& isListed,
    const std::function<bool(std::string_view)>& isKnownToHaveEnded)
{
    const TimePoint now = this->clock.now();
    std::vector<CrashNotice> confirmed;
    const auto hasEnded = [&](const auto& entry) {
        const std::string_view generation = generationOf(entry.first);
        if (entry.second.certainty == CrashCertainty::Confirmed || !this->isValid(entry.second))
            return false;
        const bool isListingDue = now - entry.second.recordedAt >= listingDelay;
        return isKnownToHaveEnded(generation) || (isListingDue && !isListed(generation));
    };
    for (auto& [fingerprint, suspect] : this->suspects) {
        auto next = std::ranges::find_if(suspect.crashes, hasEnded);
        while (next != suspect.crashes.end()) {
            // Attempts that were numbered as several crashes met one end of the generation.
            const std::string name(generationOf(next->first));
            const TimePoint recordedAt = next->second.recordedAt;
            suspect.crashes.erase(next);
            suspect.crashes.insert_or_assign(name, Crash { CrashCertainty::Confirmed, recordedAt });
            confirmed.push_back({ fingerprint, name, CrashCertainty::Confirmed });
            next = std::ranges::find_if(suspect.crashes, hasEnded);
        }
    }
    return confirmed;
}

void SuspectRegistry::clear(std::string_view fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found != this->suspects.end() && this->crashCount(found->second) < this->crashLimit)
        this->suspects.erase(found);
}

std::vector<CrashNotice> SuspectRegistry::withdrawGeneration(std::string_view generation)
{
    std::vector<CrashNotice> withdrawn;
    for (auto& [fingerprint, suspect] : this->suspects) {
        for (auto next = suspect.crashes.begin(); next != suspect.crashes.end();) {
            const auto current = next++;
            if (current->second.certainty != CrashCertainty::Possible || generationOf(current->first) != generation)
                continue;
            withdrawn.push_back({ fingerprint, current->first, CrashCertainty::Possible });
            suspect.crashes.erase(current);
        }
    }
    return withdrawn;
}

bool SuspectRegistry::withdraw(const CrashNotice& notice)
{
    const auto found = this->suspects.find(notice.fingerprint);
    if (found == this->suspects.end())
        return false;
    const auto crash = found->second.crashes.find(notice.crash);
    if (crash == found->second.crashes.end() || crash->second.certainty != CrashCertainty::Possible)
        return false;
    found->second.crashes.erase(crash);
    return true;
}

bool SuspectRegistry::exonerate(std::string_view fingerprint)
{
    const TimePoint now = this->clock.now();
    if (now >= this->nextExpiry)
        this->removeExpired();
    Completion& completion = this->completionByFingerprint[std::string(fingerprint)];
    completion.at = now;
    ++completion.count;
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end())
        return false;
    this->suspects.erase(found);
    return true;
}

void SuspectRegistry::recordCompletion(const RequestCompletion& told)
{
    const TimePoint now = this->clock.now();
    const TimePoint completedAt = now - told.age;
    if (told.age >= lifetimeOf({ completedAt, told.count }))
        return;
    if (now >= this->nextExpiry)
        this->removeExpired();
    Completion& completion = this->completionByFingerprint[told.fingerprint];
    completion.at = std::max(completion.at, completedAt);
    completion.count = std::max(completion.count, told.count);
    const auto found = this->suspects.find(told.fingerprint);
    if (found == this->suspects.end())
        return;
    std::erase_if(
        found->second.crashes, [completedAt](const auto& entry) { return entry.second.recordedAt <= completedAt; });
    if (found->second.crashes.empty())
        this->suspects.erase(found);
}

QuarantineStatus SuspectRegistry::status(std::string_view fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || this->crashCount(found->second) == 0)
        return QuarantineStatus::Clear;
    const std::size_t crashes = this->quarantiningCrashCount(found->second, fingerprint);
    const bool isQuarantined = crashes >= this->crashLimit && !this->hasCompletedRecently(fingerprint)
        && this->clock.now() - found->second.lastNotice < this->quarantineTime(crashes);
    return isQuarantined ? QuarantineStatus::Quarantined : QuarantineStatus::Suspect;
}

std::size_t SuspectRegistry::quarantiningCrashCount(const Suspect& suspect, std::string_view fingerprint) const
{
    if (!this->completesRepeatedly(fingerprint))
        return this->crashCount(suspect);
    return static_cast<std::size_t>(std::ranges::count_if(
        suspect.crashes, [](const auto& entry) { return entry.second.certainty == CrashCertainty::Confirmed; }));
}

Duration SuspectRegistry::quarantineTime(std::size_t crashes) const
{
    Duration time = initialQuarantineTime;
    for (std::size_t i = this->crashLimit; i < crashes && time < lifetime; ++i)
        time *= quarantineGrowth;
    return time;
}

bool SuspectRegistry::hasCompletedRecently(std::string_view fingerprint) const
{
    const auto found = this->completionByFingerprint.find(fingerprint);
    return found != this->completionByFingerprint.end() && this->clock.now() - found->second.at < completionLifetime;
}

bool SuspectRegistry::completesRepeatedly(std::string_view fingerprint) const
{
    const auto found = this->completionByFingerprint.find(fingerprint);
    return found != this->completionByFingerprint.end() && found->second.count >= repeatedCompletions
        && this->clock.now() - found->second.at < repeatedCompletionLifetime;
}

Duration SuspectRegistry::lifetimeOf(const Completion& completion)
{
    return completion.count >= repeatedCompletions ? repeatedCompletionLifetime : completionLifetime;
}

std::size_t SuspectRegistry::crashCount(std::string_view fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    return found == this->suspects.end() ? 0 : this->crashCount(found->second);
}

std::size_t SuspectRegistry::crashCount(const Suspect& suspect) const
{
    if (this->clock.now() - suspect.lastNotice >= lifetime)
        return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(suspect.crashes, [this](const auto& entry) { return this->counts(entry.second); }));
}

std::string SuspectRegistry::suspectCrash(std::string_view fingerprint) const
{
    if (this->status(fingerprint) != QuarantineStatus::Suspect)
        return {};
    return this->countedNotices(fingerprint).front().crash;
}

std::vector<CrashNotice> SuspectRegistry::notices() const
{
    std::vector<CrashNotice> all;
    for (const auto& [fingerprint, suspect] : this->suspects) {
        for (const auto& [name, crash] : suspect.crashes) {
            if (this->isValid(crash))
                all.push_back({ fingerprint, name, crash.certainty });
        }
    }
    return all;
}

std::vector<CrashNotice> SuspectRegistry::countedNotices(std::string_view fingerprint) const
{
    std::vector<CrashNotice> counted;
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end())
        return counted;
    for (const auto& [name, crash] : found->second.crashes) {
        if (this->counts(crash))
            counted.push_back({ found->first, name, crash.certainty });
    }
    return counted;
}

std::vector<CrashNotice> SuspectRegistry::openNotices(std::string_view fingerprint) const
{
    std::vector<CrashNotice> open;
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || this->hasCompletedRecently(fingerprint))
        return open;
    for (const auto& [name, crash] : found->second.crashes) {
        if (this->isValid(crash))
            open.push_back({ found->first, name, crash.certainty });
    }
    return open;
}

std::optional<RequestCompletion> SuspectRegistry::completion(std::string_view fingerprint) const
{
    const auto found = this->completionByFingerprint.find(fingerprint);
    if (found == this->completionByFingerprint.end())
        return std::nullopt;
    const Duration age = this->clock.now() - found->second.at;
    if (age >= lifetimeOf(found->second))
        return std::nullopt;
    return RequestCompletion { found->first, age, found->second.count };
}

std::vector<RequestCompletion> SuspectRegistry::completions(std::size_t maximum) const
{
    const TimePoint now = this->clock.now();
    std::vector<RequestCompletion> known;
    for (const auto& [fingerprint, completion] : this->completionByFingerprint) {
        const Duration age = now - completion.at;
        const bool isWanted = completion.count >= repeatedCompletions || this->suspects.contains(fingerprint);
        if (isWanted && age < lifetimeOf(completion))
            known.push_back({ fingerprint, age, completion.count });
    }
    if (known.size() <= maximum)
        return known;
    const auto end = known.begin() + static_cast<std::ptrdiff_t>(maximum);
    std::ranges::nth_element(known, end, std::greater {}, &RequestCompletion::count);
    known.erase(end, known.end());
    return known;
}

bool SuspectRegistry::isValid(const Crash& crash) const
{
    return crash.certainty == CrashCertainty::Confirmed || this->clock.now() - crash.recordedAt < unconfirmedLifetime;
}

bool SuspectRegistry::counts(const Crash& crash) const
{
    return crash.certainty != CrashCertainty::Possible && this->isValid(crash);
}

void SuspectRegistry::removeExpired()
{
    const TimePoint now = this->clock.now();
    this->nextExpiry = now + expiryInterval;
    for (auto& [fingerprint, suspect] : this->suspects)
        std::erase_if(suspect.crashes, [this](const auto& entry) { return !this->isValid(entry.second); });
    std::erase_if(this->suspects,
        [now](const auto& entry) { return entry.second.crashes.empty() || now - entry.second.lastNotice >= lifetime; });
    std::erase_if(this->completionByFingerprint,
        [now](const auto& entry) { return now - entry.second.at >= lifetimeOf(entry.second); });
    std::erase_if(this->generationCrashes,
        [now](const auto& entry) { return now - entry.second.recordedAt >= unconfirmedLifetime; });
    if (this->suspects.size() < maximumSuspects)
        return;
    // A quarantined request is not run, so its notices are old; the least suspected requests go first.
    const auto least = std::ranges::min_element(this->suspects, {},
        [this](const auto& entry) { return std::pair(this->crashCount(entry.second), entry.second.lastNotice); });
    this->suspects.erase(least);
}

} // namespace Quarantine
