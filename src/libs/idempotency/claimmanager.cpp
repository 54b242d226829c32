#include "claimmanager.h"

#include <algorithm>

namespace Idempotency {

namespace {

constexpr std::size_t maximumBatchEntries = 256;

} // namespace

/**
 * @class ClaimManager
 * Batches the claims of many requests in single records of the log, and decides them when these records are read. A
 * claim takes effect only when its record is read back, so it is safe to suspend the process at any point. A claim
 * whose append has an unknown result is abandoned, and released if it is found in the log later.
 */
ClaimManager::ClaimManager(std::string incarnation, std::chrono::milliseconds window)
    : incarnation(std::move(incarnation))
    , projection(window)
{
}

std::optional<ClaimDecision> ClaimManager::request(const ClaimRequest& request)
{
    const Claim claim { request.key, request.attempt, this->incarnation, request.fingerprint };
    if (auto decision = this->decide(claim))
        return decision;
    this->pendingClaims[request.attempt] = { claim, false };
    return std::nullopt;
}

void ClaimManager::withdraw(std::string_view attempt)
{
    const auto found = this->pendingClaims.find(attempt);
    if (found == this->pendingClaims.end())
        return;
    if (found->second.sent)
        this->abandonedAttempts.emplace(attempt);
    this->pendingClaims.erase(found);
}

void ClaimManager::release(std::string_view key, std::string_view attempt)
{
    this->queuedEntries.emplace_back(Release { std::string(key), std::string(attempt) });
}

void ClaimManager::storeAnswer(StoredAnswer answer) { this->queuedEntries.emplace_back(std::move(answer)); }

std::string ClaimManager::beginBatch()
{
    if (this->appendInFlight)
        return {};
    const std::size_t count = std::min(this->queuedEntries.size(), maximumBatchEntries);
    this->entriesInFlight.assign(
        this->queuedEntries.begin(), this->queuedEntries.begin() + static_cast<std::ptrdiff_t>(count));
    this->queuedEntries.erase(
        this->queuedEntries.begin(), this->queuedEntries.begin() + static_cast<std::ptrdiff_t>(count));
    for (auto& [attempt, claim] : this->pendingClaims) {
        if (claim.sent || this->entriesInFlight.size() >= maximumBatchEntries)
            continue;
        claim.sent = true;
        this->entriesInFlight.emplace_back(claim.claim);
    }
    if (this->entriesInFlight.empty())
        return {};
    this->appendInFlight = true;
    return encodeClaims(this->entriesInFlight);
}

void ClaimManager::onBatchAppended()
{
    this->appendInFlight = false;
    this->entriesInFlight.clear();
}

std::vector<ClaimDecision> ClaimManager::onBatchResultUnknown()
{
    this->appendInFlight = false;
    std::vector<ClaimDecision> decisions;
    for (ClaimEntry& entry : this->entriesInFlight) {
        const auto* const claim = std::get_if<Claim>(&entry);
        if (!claim) {
            // Releases and stored answers have the same effect when appended twice.
            this->queuedEntries.push_back(std::move(entry));
            continue;
        }
        if (this->pendingClaims.erase(claim->attempt) == 0)
            continue;
        this->abandonedAttempts.insert(claim->attempt);
        decisions.push_back({ claim->attempt, ClaimOutcome::Abandoned, std::nullopt });
    }
    this->entriesInFlight.clear();
    return decisions;
}

std::vector<ClaimDecision> ClaimManager::applyRecord(std::uint64_t offset, LogTime time, std::string_view text)
{
    this->projection.apply(offset, time, text);
    const Foundation::Result<std::vector<ClaimEntry>> entries = decodeClaims(text);
    if (!entries)
        return {};
    this->releaseAbandoned(entries.value());
    std::vector<ClaimDecision> decisions;
    for (const ClaimEntry& entry : entries.value()) {
        const auto* const claim = std::get_if<Claim>(&entry);
        const auto pendingClaim = claim ? this->pendingClaims.find(claim->attempt) : this->pendingClaims.end();
        if (pendingClaim == this->pendingClaims.end())
            continue;
        const ClaimDecision abandonedDecision { claim->attempt, ClaimOutcome::Abandoned, std::nullopt };
        decisions.push_back(this->decide(pendingClaim->second.claim).value_or(abandonedDecision));
        this->pendingClaims.erase(pendingClaim);
    }
    return decisions;
}

std::optional<ClaimDecision> ClaimManager::decide(const Claim& claim) const
{
    const KeyState* const state = this->projection.find(claim.key);
    if (!state)
        return std::nullopt;
    if (state->owner.fingerprint != claim.fingerprint)
        return ClaimDecision { claim.attempt, ClaimOutcome::DifferentRequest, std::nullopt };
    if (state->owner.attempt == claim.attempt && state->owner.incarnation == this->incarnation)
        return ClaimDecision { claim.attempt, ClaimOutcome::Won, std::nullopt };
    if (state->answer)
        return ClaimDecision { claim.attempt, ClaimOutcome::Answered, state->answer };
    return ClaimDecision { claim.attempt, ClaimOutcome::OwnedByOther, std::nullopt };
}

void ClaimManager::releaseAbandoned(std::span<const ClaimEntry> entries)
{
    for (const ClaimEntry& entry : entries) {
        const auto* const claim = std::get_if<Claim>(&entry);
        if (!claim || this->abandonedAttempts.erase(claim->attempt) == 0)
            continue;
        const KeyState* const state = this->projection.find(claim->key);
        if (state && state->owner.attempt == claim->attempt)
            this->release(claim->key, claim->attempt);
    }
}

} // namespace Idempotency
