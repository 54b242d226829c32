#include "configurationfold.h"

#include "environmentparser.h"

#include <algorithm>

namespace Configuration {

namespace {

constexpr std::size_t maximumDecidedChanges = 256;

} // namespace

/**
 * @class ConfigurationFold
 * Computes the active configuration from the records of the configuration stream. The computation is deterministic:
 * every process derives the same state from the same records. A change is accepted only if its base version is the
 * current version of the document or target that it changes, so exactly one of two concurrent changes wins. The
 * version never decreases.
 */
Verdict ConfigurationFold::apply(std::uint64_t offset, std::string_view text)
{
    if (offset == 0 && !this->initialized) {
        this->initialized = true;
        this->gap = false;
    }
    if (this->initialized && offset < this->current.nextOffset)
        return Verdict::Ignored;
    const Foundation::Result<ConfigurationRecord> decoded = decodeRecord(text);
    const ConfigurationRecord* const record = decoded ? &decoded.value() : nullptr;
    if (!this->gap && offset > this->current.nextOffset)
        this->openGap(offset);
    if (this->gap)
        return this->applyInGap(offset, record);
    if (!record) {
        this->current.nextOffset = offset + 1;
        return Verdict::Invalid;
    }
    return this->applyRecord(offset, *record);
}

bool ConfigurationFold::adopt(const ConfigurationState& other)
{
    const bool isAhead = other.nextOffset > this->current.nextOffset && other.version >= this->current.version;
    if (!isAhead && this->initialized)
        return false;
    if (!other.documentText.empty() && !parseEnvironment("peer", other.documentText))
        return false;
    if (this->gap)
        return this->closeGap(other);
    this->current = other;
    return true;
}

Verdict ConfigurationFold::applyRecord(std::uint64_t offset, const ConfigurationRecord& record)
{
    const Verdict verdict
        = std::visit([this, offset](const auto& change) { return this->applyChange(offset, change); }, record);
    this->current.nextOffset = std::max(this->current.nextOffset, offset + 1);
    return verdict;
}

Verdict ConfigurationFold::applyChange(std::uint64_t offset, const DocumentRecord& record)
{
    if (this->current.findDecided(record.changeId))
        return Verdict::Duplicate;
    Verdict verdict = Verdict::Accepted;
    if (record.base != this->current.documentVersion)
        verdict = Verdict::RaceLost;
    else if (!parseEnvironment("document", record.text))
        verdict = Verdict::Invalid;
    if (verdict == Verdict::Accepted) {
        this->current.documentText = record.text;
        this->current.documentVersion = offset + 1;
    }
    this->recordDecision(offset, record.changeId, verdict);
    return verdict;
}

Verdict ConfigurationFold::applyChange(std::uint64_t offset, const ServiceStateRecord& record)
{
    if (this->current.findDecided(record.changeId))
        return Verdict::Duplicate;
    const bool isBaseCurrent = record.base == this->current.targetVersion(record.target);
    const Verdict verdict = isBaseCurrent ? Verdict::Accepted : Verdict::RaceLost;
    if (isBaseCurrent)
        this->current.targets[record.target] = { record.state, offset + 1 };
    this->recordDecision(offset, record.changeId, verdict);
    return verdict;
}

Verdict ConfigurationFold::applyChange(std::uint64_t, const SnapshotRecord&)
{
    // The state already includes every record that the snapshot covers, because there is no gap.
    return Verdict::Ignored;
}

void ConfigurationFold::openGap(std::uint64_t offset)
{
    this->gap = true;
    this->gapEnd = offset;
    this->pendingEnd = offset;
    this->pending.clear();
}

Verdict ConfigurationFold::applyInGap(std::uint64_t offset, const ConfigurationRecord* record)
{
    if (this->pendingEnd == 0 || offset > this->pendingEnd)
        this->openGap(offset);
    if (offset < this->pendingEnd)
        return Verdict::Ignored;
    this->pendingEnd = offset + 1;
    if (!record)
        return Verdict::Invalid;
    const auto* const snapshot = std::get_if<SnapshotRecord>(record);
    if (!snapshot) {
        this->pending.push_back({ offset, *record });
        return Verdict::Pending;
    }
    return this->closeGap(snapshot->state) ? Verdict::Ignored : Verdict::Pending;
}

bool ConfigurationFold::closeGap(const ConfigurationState& state)
{
    const bool reachesGapEnd = this->pendingEnd == 0 || state.nextOffset >= this->gapEnd;
    const bool isNotOlder = state.nextOffset >= this->current.nextOffset && state.version >= this->current.version;
    if (!reachesGapEnd || !isNotOlder)
        return false;
    this->current = state;
    this->gap = false;
    this->initialized = true;
    for (const PendingRecord& pendingRecord : this->pending) {
        if (pendingRecord.offset >= this->current.nextOffset)
            this->applyRecord(pendingRecord.offset, pendingRecord.record);
    }
    this->pending.clear();
    this->current.nextOffset = std::max(this->current.nextOffset, this->pendingEnd);
    return true;
}

void ConfigurationFold::recordDecision(std::uint64_t offset, std::string_view changeId, Verdict verdict)
{
    const bool accepted = verdict == Verdict::Accepted;
    if (accepted)
        this->current.version = offset + 1;
    this->current.decidedChanges.push_back({ std::string(changeId), accepted, offset + 1 });
    if (this->current.decidedChanges.size() > maximumDecidedChanges)
        this->current.decidedChanges.erase(this->current.decidedChanges.begin());
}

} // namespace Configuration
