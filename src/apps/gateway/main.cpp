#include "gatewaycore.h"

#include <application/commandline.h>
#include <application/hangup.h>
#include <application/largeallocations.h>
#include <application/processend.h>
#include <application/runwithsettings.h>
#include <application/signalwatch.h>
#include <foundation/logging.h>
#include <web/httpserver.h>

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

using Application::ExitCode;
using Foundation::Event;
using Foundation::logEvent;

// The settings file may change without a SIGHUP, so it is also read at this interval.
constexpr auto settingsPollInterval = std::chrono::seconds(1);
constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;

Web::HttpReply plainTextReply(int status, std::string text)
{
    return { status, "text/plain", {}, std::move(text), false };
}

/** Applies the settings file again after a SIGHUP, or when a periodic read finds it changed. */
class SettingsWatcher {
public:
    SettingsWatcher(asio::io_context& context, std::string path, std::string text, Gateway::GatewayCore& core)
        : path(std::move(path))
        , text(std::move(text))
        , core(core)
        , timer(context)
        , reloadSignals(context, SIGHUP)
    {
        this->waitForSignal();
        this->waitForInterval();
    }

private:
    void waitForSignal()
    {
        this->reloadSignals.async_wait([this](const std::error_code& error, int) {
            if (error)
                return;
            this->reloadIfChanged();
            this->waitForSignal();
        });
    }

    void waitForInterval()
    {
        this->timer.expires_after(settingsPollInterval);
        this->timer.async_wait([this](const std::error_code& error) {
            if (error)
                return;
            this->reloadIfChanged();
            this->waitForInterval();
        });
    }

    void reloadIfChanged()
    {
        auto content = Application::readFile(this->path);
        if (!content || *content == this->text)
            return;
        this->text = std::move(*content);
        const auto settings = Gateway::parseGatewaySettings(this->path, this->text);
        if (!settings) {
            logEvent(Event::SettingsRejected, "", settings.error().message);
            return;
        }
        Foundation::setLogLimits({ settings.value().logSeverity, settings.value().logLinesPerSecond });
        this->core.reload(settings.value());
        logEvent(Event::SettingsReloaded, "", this->path);
    }

    std::string path;
    std::string text;
    Gateway::GatewayCore& core;
    asio::steady_timer timer;
    asio::signal_set reloadSignals;
};

int run(const Gateway::GatewaySettings& settings, const std::string& text)
{
    Foundation::startLogging(
        "bluebell-gateway", settings.node.name, { settings.logSeverity, settings.logLinesPerSecond });
    // One thread is enough, since the machine gives a process a part of one core.
    asio::io_context context(1);
    Gateway::GatewayCore core(context, settings);
    const Application::SignalWatch signalWatch(context, [&] { core.shutDown([&context] { context.stop(); }); });
    int exitCode = static_cast<int>(ExitCode::Success);
    const auto fail = [&context, &exitCode](const std::string& message) {
        std::cerr << "cannot listen: " << message << '\n';
        exitCode = static_cast<int>(ExitCode::SettingsInvalid);
        context.stop();
    };
    const auto& node = settings.node;
    const Gateway::SocketShares shares = Gateway::makeSocketShares(settings.receive, node.maximumSockets);
    const auto listen = [&core](const std::string& address, std::uint16_t port, std::size_t maximumConnections) {
        return Web::HttpServerSettings { address, port, 0, core.receiveGuard(), maximumConnections };
    };
    Web::HttpServer callers(context, listen(node.callerEndpoint.address, node.callerEndpoint.port, shares.callers),
        [&core](const std::shared_ptr<Web::HttpExchange>& exchange) { core.serve(exchange); });
    Web::HttpServer readiness(context,
        listen(node.readinessEndpoint.address, node.readinessEndpoint.port, shares.service),
        [&core, &callers](const std::shared_ptr<Web::HttpExchange>& exchange) {
            exchange->respond(core.isReady() && callers.canAccept() ? plainTextReply(okStatus, "ready\n")
                                                                    : plainTextReply(unavailableStatus, "not ready\n"));
        });
    Web::HttpServer metrics(context, listen(node.address, settings.metricsPort, shares.service),
        [&core](const std::shared_ptr<Web::HttpExchange>& exchange) {
            exchange->respond(plainTextReply(okStatus, core.renderMetrics()));
        });
    callers.start(fail);
    readiness.start(fail);
    metrics.start(fail);
    const auto started = core.start();
    if (!started) {
        fail(started.error().message);
        return exitCode;
    }
    const SettingsWatcher settingsWatcher(context, FLAGS_settings, text, core);
    logEvent(Event::ProcessStarted, "", BLUEBELL_VERSION);
    context.run();
    logEvent(Event::ProcessStopped, "", "");
    return exitCode;
}

} // namespace

int main(int argc, char** argv)
{
    Application::returnLargeAllocations();
    Application::ignoreHangup();
    Application::parseCommandLine("HTTP gateway that forwards requests directly to upstreams\n"
                                  "usage: bluebell-gateway --settings FILE [--check]",
        argc, argv);
    Application::endProcess(
        Application::runWithSettings(FLAGS_settings, FLAGS_check, &Gateway::parseGatewaySettings, &run));
}
