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
    /** The log did not take the record. */
    NotAppended,
    /** It cannot be told now whether the change was accepted. */
    Unconfirmed,
};

struct ChangeResult {
    ChangeOutcome outcome = ChangeOutcome::Unconfirmed;
    std::uint64_t version = 0;
};

class ChangePublisher {
public:
    /**
     * @param log the configuration stream; must outlive the publisher.
     * @param patience the longest time to settle an unknown result.
     */
    ChangePublisher(SynchronousLog& log, Foundation::Duration patience);

    /**
     * Appends a change and settles what became of it by reading the log. A change that is already decided is not
     * appended again, so the call can be repeated with the same identifier.
     * @param changeId the identifier of the change.
     * @param makeRecord makes the record on the state that was read.
     * @return the outcome.
     */
    ChangeResult publish(const std::string& changeId,
        const std::function<Configuration::ConfigurationRecord(const Configuration::ConfigurationState&)>& makeRecord);

private:
    ChangeResult settle(const std::string& changeId, Platform::AppendOutcome outcome);

    SynchronousLog& log;
    Foundation::Duration patience;
};

} // namespace Ctl
