#pragma once

#include "configurationrecord.h"
#include "configurationstate.h"

#include <string_view>
#include <vector>

namespace Configuration {

/** The outcome of applying one record. */
enum class RecordOutcome : std::uint8_t {
    Accepted,
    /** The base version of the change is outdated, because another change was accepted first. */
    RaceLost,
    /** A change with the same identifier was decided before. */
    Duplicate,
    /** The record cannot be decoded, or its document is invalid. */
    Invalid,
    /** The record is already part of the state, or it is a snapshot. */
    Ignored,
    /** The record is queued until a snapshot closes the gap left by expired records. */
    Pending,
};

class ConfigurationProjection {
public:
    /** Applies a record. Records must be applied in the order of the log; repeated ones are ignored. */
    RecordOutcome apply(std::uint64_t offset, std::string_view text);

    /**
     * Replaces the state with that of a peer if the peer's state is newer and its document is valid.
     * @return true if the state was replaced.
     */
    bool applyPeerState(const ConfigurationState& other);

    /** Returns whether there is a complete state, which may be older than the end of the log. */
    bool isReady() const { return this->initialized; }

    /** Returns whether records expired before they were read. A snapshot or the state of a peer closes the gap. */
    bool hasGap() const { return this->gap; }

    const ConfigurationState& state() const { return this->current; }

private:
    struct PendingRecord {
        std::uint64_t offset;
        ConfigurationRecord record;
    };

    RecordOutcome applyRecord(std::uint64_t offset, const ConfigurationRecord& record);
    RecordOutcome applyChange(std::uint64_t offset, const DocumentRecord& record);
    RecordOutcome applyChange(std::uint64_t offset, const ServiceStateRecord& record);
    RecordOutcome applyChange(std::uint64_t offset, const SnapshotRecord& record);
    RecordOutcome applyInGap(std::uint64_t offset, const ConfigurationRecord* record);
    void openGap(std::uint64_t offset);
    /** Replaces the state with one that covers the gap, and applies the pending changes; false if it is too old. */
    bool closeGap(const ConfigurationState& state);
    void recordDecision(std::uint64_t offset, std::string_view changeId, RecordOutcome outcome);

    ConfigurationState current;
    /** The changes read after the gap, in the order of the log. */
    std::vector<PendingRecord> pending;
    /** The offset of the first record after the gap. */
    std::uint64_t gapEnd = 0;
    /** One more than the offset of the last record read after the gap; 0 if none was read. */
    std::uint64_t pendingEnd = 0;
    bool gap = true;
    bool initialized = false;
};

} // namespace Configuration
