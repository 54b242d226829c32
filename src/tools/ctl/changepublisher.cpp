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

ChangePublisher::ChangePublisher(SynchronousLog& log, Foundation::Duration confirmationTimeout)
    : log(log)
    , confirmationTimeout(confirmationTimeout)
{
}

ChangeResult ChangePublisher::publish(const std::string& changeId,
    const std::function<Configuration::ConfigurationRecord(const Configuration::ConfigurationState&)>& makeRecord)
{
    if (!this->log.refresh())
        return { ChangeOutcome::NotAppended, 0 };
    const Configuration::ConfigurationState& state = this->log.projection().state();
    if (const auto* const decided = state.findDecidedChange(changeId))
        return toResult(*decided);
    return this->readOutcome(changeId, this->log.append(makeRecord(state)));
}

ChangeResult ChangePublisher::readOutcome(const std::string& changeId, Platform::AppendOutcome outcome)
{
    if (outcome == Platform::AppendOutcome::NotAppended)
        return { ChangeOutcome::NotAppended, 0 };
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < this->confirmationTimeout) {
        const bool isLogRead = this->log.refresh().has_value();
        if (const auto* const decided = this->log.projection().state().findDecidedChange(changeId))
            return toResult(*decided);
        // The log acknowledged the record, but the configuration state ignored it: the change is invalid.
        if (isLogRead && outcome == Platform::AppendOutcome::Appended)
            return { ChangeOutcome::Invalid, 0 };
        std::this_thread::sleep_for(pollInterval);
    }
    return { ChangeOutcome::Unconfirmed, 0 };
}

} // namespace Ctl
