#include "promptpartregistry.h"

#include "suspectregistry.h"

#include <foundation/identifier.h>

#include <algorithm>
#include <array>
#include <bit>
#include <tuple>
#include <utility>

namespace Quarantine {

namespace {

using Foundation::Duration;
using Foundation::TimePoint;

constexpr std::size_t maximumRecords = 128;
// An upstream runs a few requests at a time, each with a list of parts. Two of the longest lists fit, and the usual
// ones of all requests.
constexpr std::size_t maximumMembers = 8'192;
// Bounds all records together to about 12 MB, and the time of a judgement.
constexpr std::size_t maximumTotalMembers = 131'072;
// A completion adds at most so many parts that no crash is recorded against, so that a few requests with long lists do
// not displace the completions of others.
constexpr std::size_t maximumNewCompletions = 128;
// A record of the store then stays below 24 KB.
constexpr std::size_t maximumStoredParts = 1'024;
// More crashes than these add nothing to a cause; they make room for others.
constexpr std::size_t sufficientCrashes = 16;
// Two minutes of requests at the highest rate that one gateway serves, with a few parts each.
constexpr std::size_t maximumCompletions = 32'768;
// A crash that is not confirmed counts for this time. It outlasts an outage of the store, during which the end of an
// upstream cannot be seen.
constexpr Duration unconfirmedLifetime = std::chrono::seconds(60);
// An attempt that ended for another reason this long before a crash was detected was not running at the crash. It
// covers the time until the end of an upstream shows in the list.
constexpr Duration possibleLossWindow = std::chrono::seconds(10);
// A part whose requests ran to their end within this time is most likely a bystander.
constexpr Duration completionLifetime = std::chrono::seconds(60);
// After this time requests with the cause run again, in case the crashes had another one. With each further crash the
// time grows.
constexpr Duration initialQuarantineTime = std::chrono::minutes(15);
constexpr int quarantineGrowth = 4;
constexpr std::size_t growthFreeCrashes = 4;
// Evidence that only gets older is looked at again at this interval.
constexpr Duration refreshInterval = std::chrono::seconds(1);
constexpr Duration expiryInterval = std::chrono::seconds(1);

Duration quarantineTime(std::size_t crashes)
{
    Duration time = initialQuarantineTime;
    for (std::size_t i = growthFreeCrashes; i < crashes && time < PromptPartRegistry::lifetime; ++i)
        time *= quarantineGrowth;
    return time;
}

// Differs from crash to crash, so that no choice of ids keeps a part out of all records that are full.
std::uint64_t tieBreak(PromptPart part, std::uint64_t seed)
{
    const auto bytes = std::bit_cast<std::array<char, sizeof(part)>>(part);
    return Foundation::hash64({ bytes.data(), bytes.size() }, seed);
}

} // namespace

/**
 * @class PromptPartRegistry
 * Finds the prompt part that crashes each upstream on which a request with it begins to run. Every request that was
 * running at a crash may have caused it, so a crash holds the parts of all of them. The part that occurs in most of the
 * crashes and whose requests never complete is the cause; attributeCrashes() decides.
 */
PromptPartRegistry::PromptPartRegistry(const Foundation::Clock& clock)
    : clock(clock)
    , popularity(clock)
{
}

bool PromptPartRegistry::record(const PartCrash& crash)
{
    const TimePoint now = this->clock.now();
    if (now >= this->nextExpiry)
        this->removeExpired();
    if (now - crash.lostAt >= (crash.certainty == CrashCertainty::Confirmed ? lifetime : unconfirmedLifetime))
        return false;
    auto found = this->records.find(crash.crash);
    if (found == this->records.end()) {
        if (this->records.size() >= maximumRecords)
            this->removeOneRecord();
        found = this->records.try_emplace(crash.crash).first;
    }
    Record& record = found->second;
    record.lastNoticeAt = std::max(record.lastNoticeAt, crash.lostAt);
    record.aliveAt = std::max(record.aliveAt, crash.aliveAt);
    bool isNew = this->raise(record, crash.certainty, crash.lostAt);
    for (const PromptPart part : crash.parts)
        isNew = this->addMember(record, part, crash) || isNew;
    this->isOutdated = this->isOutdated || isNew;
    if (record.members.size() > maximumMembers)
        this->trimMembers(crash.crash, record);
    const auto countAll = [this] {
        std::size_t count = 0;
        for (const auto& [name, other] : this->records)
            count += other.members.size();
        return count;
    };
    while (countAll() > maximumTotalMembers)
        this->removeOneRecord();
    return isNew;
}

bool PromptPartRegistry::raise(Record& record, CrashCertainty certainty, TimePoint detectedAt)
{
    if (certainty != CrashCertainty::Possible) {
        record.detectedAt
            = record.certainty == CrashCertainty::Possible ? detectedAt : std::min(record.detectedAt, detectedAt);
    }
    if (record.certainty >= certainty)
        return false;
    record.certainty = certainty;
    record.lastNoticeAt = this->clock.now();
    this->isOutdated = true;
    return true;
}

bool PromptPartRegistry::addMember(Record& record, PromptPart part, const PartCrash& crash)
{
    const auto [found, isNew] = record.members.try_emplace(part, Member { crash.certainty, crash.lostAt, false });
    Member& member = found->second;
    if (isNew)
        ++this->openCounts[part];
    const auto completion = this->lastCompletions.find(part);
    if (completion != this->lastCompletions.end() && completion->second > record.aliveAt)
        this->acquit(part, member);
    if (isNew)
        return true;
    member.lostAt = std::max(member.lostAt, crash.lostAt);
    if (member.certainty >= crash.certainty)
        return false;
    member.certainty = crash.certainty;
    return true;
}

void PromptPartRegistry::acquit(PromptPart part, Member& member)
{
    if (!std::exchange(member.isAcquitted, true))
        this->closeMember(part);
}

void PromptPartRegistry::closeMember(PromptPart part)
{
    const auto open = this->openCounts.find(part);
    if (--open->second == 0)
        this->openCounts.erase(open);
}

void PromptPartRegistry::trimMembers(std::string_view name, Record& record)
{
    const std::uint64_t seed = Foundation::hash64(name);
    // What has no effect goes first. A part that occurs in other crashes too may be their cause, so it stays longest.
    const auto rank = [&](const auto& entry) {
        const auto open = this->openCounts.find(entry.first);
        const bool isRepeated = open != this->openCounts.end() && open->second > 1;
        return std::tuple(this->counts(record, entry.second), isRepeated, entry.second.certainty,
            tieBreak(entry.first, seed), entry.first);
    };
    constexpr std::size_t partIndex = 4;
    using Rank = decltype(rank(*record.members.begin()));
    std::vector<Rank> ranks;
    ranks.reserve(record.members.size());
    for (const auto& entry : record.members)
        ranks.push_back(rank(entry));
    const auto firstKept = ranks.end() - static_cast<std::ptrdiff_t>(maximumMembers);
    std::ranges::nth_element(ranks, firstKept);
    for (auto removed = ranks.begin(); removed != firstKept; ++removed) {
        const auto member = record.members.find(std::get<partIndex>(*removed));
        this->acquit(member->first, member->second);
        record.members.erase(member);
    }
}

void PromptPartRegistry::closeMembers(const Record& record)
{
    for (const auto& [part, member] : record.members) {
        if (!member.isAcquitted)
            this->closeMember(part);
    }
}

std::vector<PartCrash> PromptPartRegistry::suspectGeneration(std::string_view generation)
{
    std::vector<PartCrash> raised;
    for (auto& [name, record] : this->records) {
        if (record.certainty != CrashCertainty::Possible || !this->hasRecentMember(record)
            || SuspectRegistry::generationOf(name) != generation)
            continue;
        this->raise(record, CrashCertainty::Suspected, this->clock.now());
        raised.push_back(this->makeCrash(name, record));
    }
    return raised;
}

bool PromptPartRegistry::withdrawGeneration(std::string_view generation)
{
    return this->removeRecords([generation](const auto& entry) {
        return entry.second.certainty == CrashCertainty::Possible
            && SuspectRegistry::generationOf(entry.first) == generation;
    }) > 0;
}

std::vector<PartCrash> PromptPartRegistry::confirmEnded(
    const std::function<bool(std::string_view generation)>& hasCrashed)
{
    std::vector<PartCrash> confirmed;
    for (auto& [name, record] : this->records) {
        const bool isOpen = record.certainty != CrashCertainty::Confirmed && this->isValid(record)
            && (record.certainty != CrashCertainty::Possible || this->hasRecentMember(record));
        if (!isOpen || !hasCrashed(SuspectRegistry::generationOf(name)))
            continue;
        this->raise(record, CrashCertainty::Confirmed, this->clock.now());
        confirmed.push_back(this->makeCrash(name, record));
    }
    if (!confirmed.empty())
        this->mergeConfirmed();
    return confirmed;
}

void PromptPartRegistry::mergeConfirmed()
{
    for (auto next = this->records.begin(); next != this->records.end();) {
        const std::string generation(SuspectRegistry::generationOf(next->first));
        const auto first = this->records.find(generation);
        const bool isRepeated = generation != next->first && first != this->records.end()
            && next->second.certainty == CrashCertainty::Confirmed;
        if (!isRepeated) {
            ++next;
            continue;
        }
        first->second.members.merge(next->second.members);
        this->closeMembers(next->second);
        next = this->records.erase(next);
        if (first->second.members.size() > maximumMembers)
            this->trimMembers(first->first, first->second);
    }
}

std::vector<PromptPart> PromptPartRegistry::recordCompletion(std::span<const PromptPart> parts, TimePoint completedAt)
{
    const TimePoint now = this->clock.now();
    const TimePoint time = std::min(completedAt, now);
    if (now >= this->nextExpiry || this->lastCompletions.size() >= maximumCompletions)
        this->removeExpired();
    std::vector<PromptPart> suspected;
    std::size_t newCount = 0;
    for (const PromptPart part : parts) {
        const bool isOpen = this->openCounts.contains(part);
        const auto last = this->lastCompletions.find(part);
        if (last != this->lastCompletions.end())
            last->second = std::max(last->second, time);
        else if (isOpen || newCount++ < maximumNewCompletions)
            this->lastCompletions.emplace(part, time);
        if (!isOpen)
            continue;
        bool isSuspected = false;
        for (auto& [name, record] : this->records) {
            const auto member = record.members.find(part);
            if (member == record.members.end() || member->second.isAcquitted || record.aliveAt >= time)
                continue;
            this->acquit(part, member->second);
            isSuspected = true;
        }
        if (isSuspected)
            suspected.push_back(part);
    }
    this->isOutdated = this->isOutdated || !suspected.empty();
    return suspected;
}

const CrashCandidate* PromptPartRegistry::findCause(std::span<const PromptPart> parts) const
{
    if (parts.empty() || this->records.empty())
        return nullptr;
    std::vector<PromptPart> sorted;
    for (const CrashCandidate& candidate : this->candidates()) {
        if (candidate.verdict != AttributionVerdict::Cause)
            break;
        if (sorted.empty()) {
            sorted.assign(parts.begin(), parts.end());
            std::ranges::sort(sorted);
        }
        if (this->isInForce(candidate) && std::ranges::includes(sorted, candidate.parts))
            return &candidate;
    }
    return nullptr;
}

const std::vector<CrashCandidate>& PromptPartRegistry::candidates() const
{
    this->refresh();
    return this->currentCandidates;
}

bool PromptPartRegistry::isInForce(const CrashCandidate& cause) const
{
    return cause.verdict == AttributionVerdict::Cause
        && this->clock.now() - cause.lastCrashAt < quarantineTime(cause.crashCount);
}

std::vector<PartCrash> PromptPartRegistry::crashes() const
{
    std::vector<PartCrash> all;
    for (const auto& [name, record] : this->records) {
        if (this->isValid(record))
            all.push_back(this->makeCrash(name, record));
    }
    return all;
}

std::vector<PartCrash> PromptPartRegistry::repeatedCrashes(std::size_t minimumCount) const
{
    std::unordered_map<PromptPart, std::size_t> countByPart;
    std::vector<PartCrash> all = this->crashes();
    for (const PartCrash& crash : all) {
        for (const PromptPart part : crash.parts)
            ++countByPart[part];
    }
    for (PartCrash& crash : all)
        std::erase_if(crash.parts, [&](PromptPart part) { return countByPart.at(part) < minimumCount; });
    for (PartCrash& crash : all) {
        if (crash.parts.size() <= maximumStoredParts)
            continue;
        std::ranges::stable_sort(
            crash.parts, std::ranges::greater(), [&](PromptPart part) { return countByPart.at(part); });
        crash.parts.resize(maximumStoredParts);
        std::ranges::sort(crash.parts);
    }
    std::erase_if(all, [](const PartCrash& crash) { return crash.parts.empty(); });
    return all;
}

std::vector<PartCompletion> PromptPartRegistry::completions() const
{
    std::vector<PartCompletion> recent;
    for (const auto& [part, time] : this->lastCompletions) {
        const auto isMember = [part = part](const auto& entry) { return entry.second.members.contains(part); };
        if (std::ranges::any_of(this->records, isMember))
            recent.push_back({ part, time });
    }
    return recent;
}

bool PromptPartRegistry::isValid(const Record& record) const
{
    return record.certainty == CrashCertainty::Confirmed
        || this->clock.now() - record.lastNoticeAt < unconfirmedLifetime;
}

bool PromptPartRegistry::counts(const Record& record) const
{
    return record.certainty != CrashCertainty::Possible && this->isValid(record);
}

bool PromptPartRegistry::counts(const Record& record, const Member& member) const
{
    if (member.isAcquitted)
        return false;
    const TimePoint detectedAt = record.certainty == CrashCertainty::Possible ? this->clock.now() : record.detectedAt;
    return member.certainty != CrashCertainty::Possible || detectedAt - member.lostAt < possibleLossWindow;
}

bool PromptPartRegistry::hasRecentMember(const Record& record) const
{
    return std::ranges::any_of(record.members,
        [now = this->clock.now()](const auto& entry) { return now - entry.second.lostAt < possibleLossWindow; });
}

std::vector<PromptPart> PromptPartRegistry::countedParts(const Record& record) const
{
    std::vector<PromptPart> parts;
    parts.reserve(record.members.size());
    for (const auto& [part, member] : record.members) {
        if (this->counts(record, member))
            parts.push_back(part);
    }
    return parts;
}

PartCrash PromptPartRegistry::makeCrash(const std::string& name, const Record& record) const
{
    PartCrash crash { name, record.certainty, record.aliveAt, record.detectedAt, {} };
    for (const auto& [part, member] : record.members) {
        if (!this->counts(record, member))
            continue;
        crash.parts.push_back(part);
        if (record.certainty == CrashCertainty::Possible)
            crash.lostAt = std::max(crash.lostAt, member.lostAt);
    }
    std::ranges::sort(crash.parts);
    return crash;
}

void PromptPartRegistry::removeExpired()
{
    const TimePoint now = this->clock.now();
    this->nextExpiry = now + expiryInterval;
    this->removeRecords(
        [&](const auto& entry) { return !this->isValid(entry.second) || now - entry.second.lastNoticeAt >= lifetime; });
    std::erase_if(this->lastCompletions, [now](const auto& entry) { return now - entry.second >= completionLifetime; });
    if (this->lastCompletions.size() < maximumCompletions)
        return;
    // Parts that occur in crashes have been acquitted there, so the others may be forgotten sooner.
    std::erase_if(
        this->lastCompletions, [now](const auto& entry) { return now - entry.second >= completionLifetime / 4; });
    if (this->lastCompletions.size() >= maximumCompletions)
        this->lastCompletions.clear();
}

void PromptPartRegistry::removeOneRecord()
{
    const std::vector<CrashCandidate> all = this->candidates();
    // The index of the cause of a record; the number of candidates if there is none.
    const auto causeOf = [&all](const Record& record) {
        const auto isCause = [&record](const CrashCandidate& candidate) {
            return candidate.verdict == AttributionVerdict::Cause
                && std::ranges::all_of(candidate.parts, [&record](PromptPart part) {
                       const auto member = record.members.find(part);
                       return member != record.members.end() && !member->second.isAcquitted;
                   });
        };
        return static_cast<std::size_t>(std::ranges::find_if(all, isCause) - all.begin());
    };
    std::vector<std::size_t> counts(all.size() + 1, 0);
    for (const auto& [name, record] : this->records)
        ++counts[causeOf(record)];
    // First of causes that have more than enough, then those without a cause, possible ones before the others.
    const auto rank = [&](const auto& entry) {
        const Record& record = entry.second;
        const std::size_t cause = causeOf(record);
        const bool isExplained = cause < all.size();
        const int order = isExplained ? (counts[cause] > sufficientCrashes ? 0 : 2) : 1;
        return std::tuple(order, record.certainty != CrashCertainty::Possible, record.lastNoticeAt);
    };
    const auto removed = std::ranges::min_element(this->records, {}, rank);
    this->closeMembers(removed->second);
    this->records.erase(removed);
    this->isOutdated = true;
}

void PromptPartRegistry::refresh() const
{
    const TimePoint now = this->clock.now();
    if (!this->isOutdated && now < this->nextRefresh)
        return;
    this->isOutdated = false;
    this->nextRefresh = now + refreshInterval;
    std::vector<CountedCrash> counted;
    for (const auto& [name, record] : this->records) {
        if (this->counts(record))
            counted.push_back({ record.aliveAt, record.detectedAt, this->countedParts(record) });
    }
    std::vector<std::vector<PromptPart>> earlierCauses;
    for (const CrashCandidate& candidate : this->currentCandidates) {
        if (candidate.verdict == AttributionVerdict::Cause)
            earlierCauses.push_back(candidate.parts);
    }
    this->currentCandidates = attributeCrashes(counted, earlierCauses, [this](PromptPart part) {
        const auto found = this->lastCompletions.find(part);
        const bool hasCompletedLately
            = found != this->lastCompletions.end() && this->clock.now() - found->second < completionLifetime;
        return hasCompletedLately || this->popularity.isPopular(part);
    });
}

} // namespace Quarantine
