#pragma once

#include "upstreamclient.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Agent {

/** The result of the last status check. */
enum class UpstreamHealth : std::uint8_t {
    Unknown,
    Up,
    Down,
};

/** The callbacks of an UpstreamMonitor. */
struct UpstreamMonitorHandlers {
    /** Called when the upstream has restarted or refuses connections. All its streams and reservations are lost. */
    std::function<void(std::string endedGeneration)> onGenerationEnded;
    /** Called when the health or the draining state of the upstream changed. */
    std::function<void()> onChanged;
    /** Called after each status check, whatever its result. */
    std::function<void()> onChecked;
};

class UpstreamMonitor : public std::enable_shared_from_this<UpstreamMonitor> {
public:
    UpstreamMonitor(asio::io_context& context, UpstreamClient& client, Foundation::Duration interval,
        UpstreamMonitorHandlers handlers);

    /** Starts to check the upstream at intervals. */
    void start();

    void stop();

    /** Checks the upstream immediately; used when a call was interrupted. */
    void checkNow();

    UpstreamHealth health() const { return this->currentHealth; }
    bool isDraining() const { return this->draining; }
    const std::string& generation() const { return this->currentGeneration; }

private:
    void check();
    void scheduleCheck();
    void onStatus(const Foundation::Result<UpstreamStatus>& status, bool isRefused);
    void setHealth(UpstreamHealth health);
    void endGeneration();

    UpstreamClient& client;
    Foundation::Duration interval;
    UpstreamMonitorHandlers handlers;
    asio::steady_timer timer;
    UpstreamHealth currentHealth = UpstreamHealth::Unknown;
    std::string currentGeneration;
    bool draining = false;
    bool checking = false;
    bool checkAgain = false;
    bool stopped = false;
};

} // namespace Agent
