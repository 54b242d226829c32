#include "claimprojection.h"

#include <algorithm>

namespace Idempotency {

/**
 * @class ClaimProjection
 * Computes the owner of each key from the order of records in the log: the first claim wins, unless its claimant
 * released it before the next claim. Expiry depends only on the log's clock and the order of records, so every
 * process computes the same owners.
 */
ClaimProjection::ClaimProjection(std::chrono::milliseconds window)
    : window(window)
{
}

void ClaimProjection::setWindow(std::chrono::milliseconds newWindow) { this->window = newWindow; }

void ClaimProjection::apply(std::uint64_t offset, LogTime time, std::string_view text)
{
    if (offset < this->next)
        return;
    this->next = offset + 1;
    this->expire(time);
    const Foundation::Result<std::vector<ClaimEntry>> entries = decodeClaims(text);
    if (!entries)
        return;
    for (const ClaimEntry& entry : entries.value())
        std::visit([this, time](const auto& value) { this->applyEntry(time, value); }, entry);
}

void ClaimProjection::resetTo(std::uint64_t nextOffset)
{
    this->keys.clear();
    this->expiryQueue.clear();
    this->next = nextOffset;
}

const KeyState* ClaimProjection::find(std::string_view key) const
{
    const auto found = this->keys.find(key);
    return found == this->keys.end() ? nullptr : &found->second;
}

void ClaimProjection::applyEntry(LogTime time, const Claim& claim)
{
    const bool won = this->keys.try_emplace(claim.key, KeyState { claim, time, std::nullopt }).second;
    if (won)
        this->expiryQueue.push_back({ time, claim.key });
}

void ClaimProjection::applyEntry(LogTime, const Release& release)
{
    const auto found = this->keys.find(release.key);
    if (found != this->keys.end() && found->second.owner.attempt == release.attempt)
        this->keys.erase(found);
}

void ClaimProjection::applyEntry(LogTime, const StoredAnswer& answer)
{
    const auto found = this->keys.find(answer.key);
    if (found != this->keys.end() && found->second.owner.attempt == answer.attempt)
        found->second.answer = answer;
}

void ClaimProjection::expire(LogTime time)
{
    while (!this->expiryQueue.empty() && time - this->expiryQueue.front().claimedAt >= this->window) {
        const ClaimedKey& oldest = this->expiryQueue.front();
        const auto found = this->keys.find(oldest.key);
        if (found != this->keys.end() && found->second.claimedAt == oldest.claimedAt)
            this->keys.erase(found);
        this->expiryQueue.pop_front();
    }
}

} // namespace Idempotency
