#include "changepublisher.h"

#include <thread>

namespace Ctl {

namespace {

constexpr auto pollInterval = std::chrono::milliseconds(100);

ChangeResult toResult(const Configuration::DecidedChange& decided)
{
    return { decided.accepted ? ChangeOutcome::Accepted : ChangeOutcome::RaceLost, decided.version };
}

} // namespace

/**
 * @class ChangePublisher
 * Publishes one change of configuration and finds out what became of it.
 */
ChangePublisher::ChangePublisher(SynchronousLog& log, Foundation::Duration patience)
    : log(log)
    , patience(patience)
{
}

ChangeResult ChangePublisher::publish(const std::string& changeId,
    const std::function<Configuration::ConfigurationRecord(const Configuration::ConfigurationState&)>& makeRecord)
{
    if (!this->log.refresh())
        return { ChangeOutcome::NotAppended, 0 };
    const Configuration::ConfigurationState& state = this->log.fold().state();
    if (const auto* const decided = state.findDecidedChange(changeId))
        return toResult(*decided);
    return this->settle(changeId, this->log.append(makeRecord(state)));
}

ChangeResult ChangePublisher::settle(const std::string& changeId, Platform::AppendOutcome outcome)
{
    if (outcome == Platform::AppendOutcome::NotAppended)
        return { ChangeOutcome::NotAppended, 0 };
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < this->patience) {
        const bool wasRead = this->log.refresh().has_value();
        if (const auto* const decided = this->log.fold().state().findDecidedChange(changeId))
            return toResult(*decided);
        // A record that the log acknowledged and that decides nothing was no valid change.
        if (wasRead && outcome == Platform::AppendOutcome::Appended)
            return { ChangeOutcome::Invalid, 0 };
        std::this_thread::sleep_for(pollInterval);
    }
    return { ChangeOutcome::Unconfirmed, 0 };
}

} // namespace Ctl
