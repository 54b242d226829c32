#pragma once

#include "logfollower.h"

#include <configuration/configurationprojection.h>
#include <configuration/environmentdocument.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace Platform {

/** The configuration that is in force. */
struct ActiveConfiguration {
    Configuration::ConfigurationState state;
    Configuration::EnvironmentDocument document;

    /** Returns whether a document is in force; without one no request is admitted. */
    bool hasDocument() const { return this->state.documentVersion != 0; }
};

using ActiveConfigurationPtr = std::shared_ptr<const ActiveConfiguration>;

/**
 * Follows the configuration stream of the log and appends snapshots of the accepted state before the records expire.
 * Any process may append a snapshot; one that has read a newer snapshot since it scheduled its own skips it.
 */
class ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower> {
public:
    /**
     * @param context runs the handlers; only one thread may run it at a time.
     * @param log must outlive this object.
     * @param onChange called with each configuration that comes into force.
     */
    ConfigurationFollower(
        asio::io_context& context, LogClient& log, std::function<void(ActiveConfigurationPtr)> onChange);

    /** Starts to follow the configuration stream from its beginning. */
    void start();

    void stop();

    /** Applies the configuration of a peer if it is newer. */
    void applyPeerState(const Configuration::ConfigurationState& state);

    const Configuration::ConfigurationState& state() const { return this->projection.state(); }

    /** Returns whether the last read of the log succeeded. */
    bool isLogAvailable() const { return this->lastReadSucceeded; }

private:
    void onPage(const LogPage& page);
    void publishIfChanged();
    void scheduleSnapshot(std::chrono::milliseconds retention);
    void appendSnapshot();

    LogClient& log;
    std::function<void(ActiveConfigurationPtr)> onChange;
    std::shared_ptr<LogFollower> follower;
    Configuration::ConfigurationProjection projection;
    asio::steady_timer snapshotTimer;
    std::uint64_t publishedVersion = 0;
    /** The offset after the newest snapshot that was read; 0 before the first one. */
    std::uint64_t lastSnapshotEnd = 0;
    std::uint64_t snapshotEndWhenScheduled = 0;
    bool isSnapshotScheduled = false;
    bool lastReadSucceeded = true;
};

} // namespace Platform
