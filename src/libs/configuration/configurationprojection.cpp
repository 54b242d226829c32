#include "configurationprojection.h"

#include "environmentparser.h"

#include <algorithm>

namespace Configuration {

namespace {

constexpr std::size_t maximumDecidedChanges = 256;

} // namespace

/**
 * @class ConfigurationProjection
 * Computes the active configuration from the records of the configuration stream. The computation is deterministic:
 * every process derives the same state from the same records. A change is accepted only if its base version is the
 * current version of the document or target that it changes, so exactly one of two concurrent changes wins. The
 * version never decreases.
 */
RecordOutcome ConfigurationProjection::apply(std::uint64_t offset, std::string_view text)
{
    if (offset == 0 && !this->initialized) {
        this->initialized = true;
        this->gap = false;
    }
    if (this->initialized && offset < this->current.nextOffset)
        return RecordOutcome::Ignored;
    const Foundation::Result<ConfigurationRecord> decoded = decodeRecord(text);
    const ConfigurationRecord* const record = decoded ? &decoded.value() : nullptr;
    if (!this->gap && offset > this->current.nextOffset)
        this->openGap(offset);
    if (this->gap)
        return this->applyInGap(offset, record);
    if (!record) {
        this->current.nextOffset = offset + 1;
        return RecordOutcome::Invalid;
    }
    return this->applyRecord(offset, *record);
}

bool ConfigurationProjection::applyPeerState(const ConfigurationState& other)
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

RecordOutcome ConfigurationProjection::applyRecord(std::uint64_t offset, const ConfigurationRecord& record)
{
    const RecordOutcome outcome
        = std::visit([this, offset](const auto& change) { return this->applyChange(offset, change); }, record);
    this->current.nextOffset = std::max(this->current.nextOffset, offset + 1);
    return outcome;
}

RecordOutcome ConfigurationProjection::applyChange(std::uint64_t offset, const DocumentRecord& record)
{
    if (this->current.findDecidedChange(record.changeId))
        return RecordOutcome::Duplicate;
    RecordOutcome outcome = RecordOutcome::Accepted;
    if (record.base != this->current.documentVersion)
        outcome = RecordOutcome::RaceLost;
    else if (!parseEnvironment("document", record.text))
        outcome = RecordOutcome::Invalid;
    if (outcome == RecordOutcome::Accepted) {
        this->current.documentText = record.text;
        this->current.documentVersion = offset + 1;
    }
    this->recordDecision(offset, record.changeId, outcome);
    return outcome;
}

RecordOutcome ConfigurationProjection::applyChange(std::uint64_t offset, const ServiceStateRecord& record)
{
    if (this->current.findDecidedChange(record.changeId))
        return RecordOutcome::Duplicate;
    const bool isBaseCurrent = record.base == this->current.targetVersion(record.target);
    const RecordOutcome outcome = isBaseCurrent ? RecordOutcome::Accepted : RecordOutcome::RaceLost;
    if (isBaseCurrent)
        this->current.targets[record.target] = { record.state, offset + 1 };
    this->recordDecision(offset, record.changeId, outcome);
    return outcome;
}

RecordOutcome ConfigurationProjection::applyChange(std::uint64_t, const SnapshotRecord&)
{
    // The state already includes every record that the snapshot covers, because there is no gap.
    return RecordOutcome::Ignored;
}

void ConfigurationProjection::openGap(std::uint64_t offset)
{
    this->gap = true;
    this->gapEnd = offset;
    this->pendingEnd = offset;
    this->pending.clear();
}

RecordOutcome ConfigurationProjection::applyInGap(std::uint64_t offset, const ConfigurationRecord* record)
{
    if (this->pendingEnd == 0 || offset > this->pendingEnd)
        this->openGap(offset);
    if (offset < this->pendingEnd)
        return RecordOutcome::Ignored;
    this->pendingEnd = offset + 1;
    if (!record)
        return RecordOutcome::Invalid;
    const auto* const snapshot = std::get_if<SnapshotRecord>(record);
    if (!snapshot) {
        this->pending.push_back({ offset, *record });
        return RecordOutcome::Pending;
    }
    return this->closeGap(snapshot->state) ? RecordOutcome::Ignored : RecordOutcome::Pending;
}

bool ConfigurationProjection::closeGap(const ConfigurationState& state)
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

void ConfigurationProjection::recordDecision(std::uint64_t offset, std::string_view changeId, RecordOutcome outcome)
{
    const bool accepted = outcome == RecordOutcome::Accepted;
    if (accepted)
        this->current.version = offset + 1;
    this->current.decidedChanges.push_back({ std::string(changeId), accepted, offset + 1 });
    if (this->current.decidedChanges.size() > maximumDecidedChanges)
        this->current.decidedChanges.erase(this->current.decidedChanges.begin());
}

} // namespace Configuration
