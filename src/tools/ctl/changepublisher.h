#pragma once

#include "synchronouslog.h"

#include <foundation/clock.h>

#include <functional>
#include <string>

namespace Ctl {

enum class ChangeOutcome : std::uint8_t {
    Accepted,
    RaceLost,
    Invalid,
    /** The log rejected the record or could not be reached; nothing was changed. */
    NotAppended,
    /** The record may be in the log, but its outcome was not read within the confirmation timeout. */
    Unconfirmed,
};

struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Unconfirmed;
    std::uint64_t version = 0;
};

/** Appends a configuration change to the log and reads the log until the outcome of the change is decided. */
class ChangePublisher {
public:
    /**
     * @param log the configuration stream; must outlive the publisher.
     * @param confirmationTimeout how long to read the log for the outcome of an appended change.
     */
    ChangePublisher(SynchronousLog& log, Foundation::Duration confirmationTimeout);

    /**
     * Publishes a change and returns its outcome. A change whose outcome is already in the log is not appended again,
     * so the call can be repeated with the same identifier.
     * @param makeRecord makes the record from the newest configuration state of the log.
     */
    ChangeResult publish(const std::string& changeId,
        const std::function<Configuration::ConfigurationRecord(const Configuration::ConfigurationState&)>& makeRecord);

private:
    ChangeResult readOutcome(const std::string& changeId, Platform::AppendOutcome outcome);

    SynchronousLog& log;
    Foundation::Duration confirmationTimeout;
};

} // namespace Ctl
