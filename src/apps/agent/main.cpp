#include "agentcore.h"

#include <application/commandline.h>
#include <application/processend.h>
#include <application/runwithsettings.h>
#include <application/signalwatch.h>
#include <foundation/logging.h>
#include <web/httpserver.h>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

using Application::ExitCode;

constexpr std::uint64_t maximumHttpBody = 64 * 1024;
constexpr int serviceUnavailable = 503;
constexpr int notFound = 404;

void respond(Agent::AgentCore& core, Web::HttpExchange& exchange)
{
    const std::string& path = exchange.request().path;
    if (path == "/healthz")
        exchange.respond({ 200, "text/plain", {}, "ok\n" });
    else if (path == "/readyz" && core.isReady())
        exchange.respond({ 200, "text/plain", {}, "ready\n" });
    else if (path == "/readyz")
        exchange.respond({ serviceUnavailable, "text/plain", {}, "not ready\n" });
    else if (path == "/metrics")
        exchange.respond({ 200, "text/plain; version=0.0.4", {}, core.renderMetrics() });
    else
        exchange.respond({ notFound, "text/plain", {}, "not found\n" });
}

int run(const Agent::AgentSettings& settings)
{
    Foundation::startLogging("bluebell-agent", settings.process.instance, { settings.process.logSeverity });
    constexpr int concurrencyHint = 1;
    asio::io_context context(concurrencyHint);
    const Foundation::SteadyClock clock;
    Agent::AgentCore core(context, clock, settings);
    if (const auto started = core.start(); !started) {
        std::cerr << "cannot listen on port " << settings.wirePort << ": " << started.error().message << '\n';
        return static_cast<int>(ExitCode::SettingsInvalid);
    }
    Web::HttpServer server(context, { settings.process.listenAddress, settings.process.httpPort, maximumHttpBody },
        [&core](const std::shared_ptr<Web::HttpExchange>& exchange) { respond(core, *exchange); });
    int exitCode = static_cast<int>(ExitCode::Success);
    server.start([&context, &exitCode](const std::string& message) {
        std::cerr << "cannot listen on the HTTP port: " << message << '\n';
        exitCode = static_cast<int>(ExitCode::SettingsInvalid);
        context.stop();
    });
    const Application::SignalWatch signalWatch(context, [&core] { core.shutDown(); });
    Foundation::logEvent(Foundation::Event::ProcessStarted, "", BLUEBELL_VERSION);
    context.run();
    Foundation::logEvent(Foundation::Event::ProcessStopped, "", "");
    return exitCode;
}

} // namespace

int main(int argc, char** argv)
{
    Application::parseCommandLine(
        "admission agent of one upstream\nusage: bluebell-agent --settings FILE [--check]", argc, argv);
    Application::endProcess(Application::runWithSettings(FLAGS_settings, FLAGS_check, &Agent::parseAgentSettings,
        [](const auto& settings, const std::string&) { return run(settings); }));
}
