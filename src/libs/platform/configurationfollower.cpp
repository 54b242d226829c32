#include "configurationfollower.h"

#include <configuration/environmentparser.h>
#include <foundation/identifier.h>
#include <foundation/logging.h>

namespace Platform {

namespace {

using Configuration::RecordOutcome;
using Foundation::Event;

constexpr std::string_view streamName = "configuration";
// The number of snapshots per retention time, so that two may fail before the records expire.
constexpr int snapshotsPerRetention = 4;
constexpr std::int64_t minimumSnapshotIntervalMs = 200;

bool isSnapshot(const LogRecord& record)
{
    const auto decoded = Configuration::decodeRecord(record.data);
    return decoded && std::holds_alternative<Configuration::SnapshotRecord>(decoded.value());
}

} // namespace

ConfigurationFollower::ConfigurationFollower(
    asio::io_context& context, LogClient& log, std::function<void(ActiveConfigurationPtr)> onChange)
    : log(log)
    , onChange(std::move(onChange))
    , snapshotTimer(context)
{
    LogFollowerHandlers handlers;
    handlers.onPage = [this](const LogPage& page) { this->onPage(page); };
    handlers.onAvailability = [this](bool available) {
        this->lastReadSucceeded = available;
        Foundation::logEvent(available ? Event::LogAvailable : Event::LogUnavailable, "", streamName);
    };
    this->follower = std::make_shared<LogFollower>(context, log, std::string(streamName), std::move(handlers));
}

void ConfigurationFollower::start() { this->follower->start(0); }

void ConfigurationFollower::stop()
{
    this->follower->stop();
    this->snapshotTimer.cancel();
}

void ConfigurationFollower::applyPeerState(const Configuration::ConfigurationState& state)
{
    if (this->projection.applyPeerState(state))
        this->publishIfChanged();
}

void ConfigurationFollower::onPage(const LogPage& page)
{
    for (const LogRecord& record : page.records) {
        const RecordOutcome outcome = this->projection.apply(record.offset, record.data);
        if (outcome == RecordOutcome::RaceLost || outcome == RecordOutcome::Invalid)
            Foundation::logEvent(Event::ConfigurationRejected, "", "offset " + std::to_string(record.offset));
        if (isSnapshot(record))
            this->lastSnapshotEnd = record.offset + 1;
    }
    this->publishIfChanged();
    this->scheduleSnapshot(page.retention);
}

void ConfigurationFollower::publishIfChanged()
{
    const Configuration::ConfigurationState& state = this->projection.state();
    if (!this->projection.isReady() || state.version == this->publishedVersion)
        return;
    auto active = std::make_shared<ActiveConfiguration>();
    active->state = state;
    if (state.documentVersion != 0) {
        auto document = Configuration::parseEnvironment("document", state.documentText);
        if (!document)
            return;
        active->document = std::move(document.value());
    }
    this->publishedVersion = state.version;
    Foundation::logEvent(Event::ConfigurationInForce, "", "version " + std::to_string(state.version));
    this->onChange(std::move(active));
}

void ConfigurationFollower::scheduleSnapshot(std::chrono::milliseconds retention)
{
    if (this->isSnapshotScheduled || retention.count() <= 0)
        return;
    this->isSnapshotScheduled = true;
    this->snapshotEndWhenScheduled = this->lastSnapshotEnd;
    const std::int64_t interval = std::max(minimumSnapshotIntervalMs, retention.count() / snapshotsPerRetention);
    this->snapshotTimer.expires_after(std::chrono::milliseconds(Foundation::jittered(interval)));
    this->snapshotTimer.async_wait([self = this->shared_from_this(), retention](const std::error_code& error) {
        if (error)
            return;
        self->isSnapshotScheduled = false;
        self->appendSnapshot();
        self->scheduleSnapshot(retention);
    });
}

void ConfigurationFollower::appendSnapshot()
{
    const bool hasNewerSnapshot = this->lastSnapshotEnd != this->snapshotEndWhenScheduled;
    if (hasNewerSnapshot || this->projection.hasGap() || this->projection.state().version == 0)
        return;
    const Configuration::SnapshotRecord record { this->projection.state() };
    this->log.append(streamName, Configuration::encodeRecord(record), [](const AppendResult& result) {
        if (result.outcome == AppendOutcome::Appended)
            Foundation::logEvent(Event::SnapshotAppended, "", "offset " + std::to_string(result.offset));
    });
}

} // namespace Platform
