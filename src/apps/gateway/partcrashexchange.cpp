#include "partcrashexchange.h"

#include <foundation/logging.h>
#include <quarantine/suspectregistry.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Gateway {

namespace {

using Foundation::Duration;
using Foundation::Event;
using Foundation::logEvent;
using Foundation::TimePoint;
using Quarantine::AttributionVerdict;
using Quarantine::CrashCandidate;
using Quarantine::CrashCertainty;
using Quarantine::PartCrash;
using Quarantine::PromptPart;

// Callers often leave for other reasons than a crash, so possible crashes are told in batches.
constexpr Duration possibleCrashInterval = std::chrono::milliseconds(300);
constexpr std::size_t maximumPossibleCrashes = 256;
// Bounds a batch to about 300 KB.
constexpr std::size_t maximumPossibleParts = 32'768;
// The minimum interval between two log lines with candidates, and how many of them a line has.
constexpr Duration candidateLogInterval = std::chrono::milliseconds(500);
constexpr std::size_t maximumLoggedCandidates = 5;
// Enough to recognize a list; parts that cannot be told apart may be thousands.
constexpr std::size_t maximumLoggedParts = 16;

std::chrono::milliseconds fromAge(std::int64_t milliseconds)
{
    return std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds));
}

Wire::PartCrashNotice makeNotice(const PartCrash& crash, TimePoint now)
{
    return { crash.crash, crash.certainty, Foundation::toMilliseconds(now - crash.aliveAt),
        Foundation::toMilliseconds(now - crash.lostAt), crash.parts };
}

std::string describe(const CrashCandidate& candidate)
{
    return "part=" + promptPartsText(candidate.parts) + " crashes=" + std::to_string(candidate.crashCount)
        + " moments=" + std::to_string(candidate.momentCount)
        + " likely_bystander=" + std::to_string(int(candidate.isLikelyBystander));
}

} // namespace

std::string promptPartsText(std::span<const PromptPart> parts)
{
    constexpr int hexadecimal = 16;
    std::string text;
    for (const PromptPart part : parts.first(std::min(parts.size(), maximumLoggedParts))) {
        std::array<char, 2 * sizeof(PromptPart)> digits {};
        const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), part, hexadecimal);
        text.append(text.empty() ? "" : ",").append(digits.data(), result.ptr);
    }
    if (parts.size() > maximumLoggedParts)
        text += ",+" + std::to_string(parts.size() - maximumLoggedParts);
    return text;
}

PartCrashExchange::PartCrashExchange(const Foundation::Clock& clock, Quarantine::PromptPartRegistry& registry,
    PartCrashStore& store, std::function<void(const Wire::SuspectNotice&)> broadcast)
    : clock(clock)
    , registry(registry)
    , store(store)
    , broadcast(std::move(broadcast))
{
}

void PartCrashExchange::onAttemptLost(const PartCrash& crash)
{
    if (crash.parts.empty() || !this->registry.record(crash))
        return;
    this->store.onObserved(crash.crash);
    if (crash.certainty != CrashCertainty::Possible) {
        this->hasNewCrash = true;
        this->broadcastCrashes({ crash });
    } else if (this->unsentPossibleCrashes.size() < maximumPossibleCrashes
        && this->unsentPartCount() + crash.parts.size() <= maximumPossibleParts)
        this->unsentPossibleCrashes.push_back(crash);
}

std::size_t PartCrashExchange::unsentPartCount() const
{
    std::size_t count = 0;
    for (const PartCrash& crash : this->unsentPossibleCrashes)
        count += crash.parts.size();
    return count;
}

void PartCrashExchange::onCompleted(std::span<const PromptPart> parts)
{
    Wire::SuspectNotice notice;
    for (const PromptPart part : this->registry.recordCompletion(parts))
        notice.partCompletions.push_back({ part, 0 });
    if (!notice.partCompletions.empty())
        this->broadcast(notice);
}

void PartCrashExchange::onUpstreamDown(std::string_view generation)
{
    this->broadcastCrashes(this->registry.suspectGeneration(generation));
}

void PartCrashExchange::onUpstreamReported(std::string_view generation)
{
    this->hasNewCrash = !this->registry.suspectGeneration(generation).empty() || this->hasNewCrash;
}

void PartCrashExchange::onSilenceEnded(const std::string& generation)
{
    std::erase_if(this->unsentPossibleCrashes, [&generation](const PartCrash& crash) {
        return Quarantine::SuspectRegistry::generationOf(crash.crash) == generation;
    });
    if (!this->registry.withdrawGeneration(generation))
        return;
    Wire::SuspectNotice notice;
    notice.partWithdrawn.push_back(generation);
    this->broadcast(notice);
}

void PartCrashExchange::onNotice(const Wire::SuspectNotice& notice)
{
    const TimePoint now = this->clock.now();
    for (const Wire::PartCompletionNotice& completion : notice.partCompletions)
        this->registry.recordCompletion(std::span(&completion.part, 1), now - fromAge(completion.ageMs));
    for (const std::string& generation : notice.partWithdrawn)
        this->registry.withdrawGeneration(generation);
    for (const Wire::PartCrashNotice& crash : notice.partCrashes) {
        const bool isNew = this->registry.record({ crash.crash, crash.certainty, now - fromAge(crash.aliveAgeMs),
            now - fromAge(crash.lostAgeMs), crash.parts });
        this->hasNewCrash = this->hasNewCrash || (isNew && crash.certainty != CrashCertainty::Possible);
    }
}

void PartCrashExchange::addKnown(Wire::SuspectNotice& snapshot) const
{
    const TimePoint now = this->clock.now();
    for (const PartCrash& crash : this->registry.crashes())
        snapshot.partCrashes.push_back(makeNotice(crash, now));
    for (const Quarantine::PartCompletion& completion : this->registry.completions())
        snapshot.partCompletions.push_back(
            { completion.part, Foundation::toMilliseconds(now - completion.completedAt) });
}

void PartCrashExchange::confirmEnded(const std::function<bool(std::string_view generation)>& hasCrashed)
{
    this->broadcastCrashes(this->registry.confirmEnded(hasCrashed));
}

void PartCrashExchange::tick()
{
    this->flushPossibleCrashes();
    this->store.tick();
    this->logDecisions();
    this->logCandidates();
}

void PartCrashExchange::broadcastCrashes(const std::vector<PartCrash>& crashes)
{
    if (crashes.empty())
        return;
    this->hasNewCrash = true;
    const TimePoint now = this->clock.now();
    Wire::SuspectNotice notice;
    for (const PartCrash& crash : crashes)
        notice.partCrashes.push_back(makeNotice(crash, now));
    this->broadcast(notice);
}

void PartCrashExchange::flushPossibleCrashes()
{
    const TimePoint now = this->clock.now();
    if (now < this->nextFlush || this->unsentPossibleCrashes.empty())
        return;
    this->nextFlush = now + possibleCrashInterval;
    Wire::SuspectNotice notice;
    for (const PartCrash& crash : std::exchange(this->unsentPossibleCrashes, {}))
        notice.partCrashes.push_back(makeNotice(crash, now));
    this->broadcast(notice);
}

void PartCrashExchange::logDecisions()
{
    std::vector<std::vector<PromptPart>> causes;
    for (const CrashCandidate& candidate : this->registry.candidates()) {
        if (!this->registry.isInForce(candidate))
            continue;
        causes.push_back(candidate.parts);
        if (std::ranges::find(this->loggedCauses, candidate.parts) == this->loggedCauses.end())
            logEvent(Event::PromptPartQuarantined, "", describe(candidate));
    }
    for (const std::vector<PromptPart>& parts : this->loggedCauses) {
        if (std::ranges::find(causes, parts) == causes.end())
            logEvent(Event::PromptPartReleased, "", "part=" + promptPartsText(parts));
    }
    this->loggedCauses = std::move(causes);
}

void PartCrashExchange::logCandidates()
{
    const TimePoint now = this->clock.now();
    if (!this->hasNewCrash || now < this->nextCandidateLog)
        return;
    this->hasNewCrash = false;
    this->nextCandidateLog = now + candidateLogInterval;
    std::string candidates;
    std::size_t count = 0;
    for (const CrashCandidate& candidate : this->registry.candidates()) {
        if (++count > maximumLoggedCandidates)
            break;
        candidates += " [" + describe(candidate) + " verdict=" + std::string(verdictName(candidate.verdict)) + "]";
    }
    logEvent(Event::CrashCandidates, "", "crashes=" + std::to_string(this->registry.size()) + candidates);
}

} // namespace Gateway
