#include "entrycore.h"
#include "entryserver.h"

#include <application/commandline.h>
#include <application/processend.h>
#include <application/runwithsettings.h>
#include <application/signalwatch.h>
#include <foundation/logging.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <gflags/gflags.h>

#include <iostream>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

using Application::ExitCode;

// RESTinio closes the connection if a body is larger than this. A smaller body that exceeds the configured limit gets a
// reply with a result code.
constexpr std::uint64_t maximumHttpBodyBytes = 80 * 1024 * 1024;
// The time in which the last answers are flushed from the sockets.
constexpr Foundation::Duration finalFlushTime = std::chrono::milliseconds(200);

int run(const Entry::EntrySettings& settings)
{
    Foundation::startLogging("bluebell-entry", settings.process.instance, { settings.process.logSeverity });
    asio::io_context control(1);
    asio::io_context workers(static_cast<int>(settings.threads));
    const Foundation::SteadyClock clock;
    Entry::EntryCore core(control, workers, clock, settings);
    Entry::EntryServer entryServer(core);
    Web::HttpServer server(workers, { settings.process.listenAddress, settings.process.httpPort, maximumHttpBodyBytes },
        [&entryServer](const std::shared_ptr<Web::HttpExchange>& exchange) { entryServer.handle(exchange); });
    std::atomic<int> exitCode { static_cast<int>(ExitCode::Success) };
    server.start([&control, &exitCode](const std::string& message) {
        std::cerr << "cannot listen on the HTTP port: " << message << '\n';
        exitCode = static_cast<int>(ExitCode::SettingsInvalid);
        control.stop();
    });
    asio::steady_timer flushTimer(control);
    const Application::SignalWatch signalWatch(control, [&] {
        core.shutDown([&] {
            flushTimer.expires_after(finalFlushTime);
            flushTimer.async_wait([&control](const std::error_code&) { control.stop(); });
        });
    });
    core.start();
    const auto workGuard = asio::make_work_guard(workers);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < settings.threads; ++i)
        threads.emplace_back([&workers] { workers.run(); });
    Foundation::logEvent(Foundation::Event::ProcessStarted, "", BLUEBELL_VERSION);
    control.run();
    workers.stop();
    for (std::thread& thread : threads)
        thread.join();
    Foundation::logEvent(Foundation::Event::ProcessStopped, "", "");
    return exitCode;
}

} // namespace

int main(int argc, char** argv)
{
    Application::parseCommandLine(
        "accepts the requests of callers and forwards them to agents\nusage: bluebell-entry --settings FILE [--check]",
        argc, argv);
    Application::endProcess(Application::runWithSettings(FLAGS_settings, FLAGS_check, &Entry::parseEntrySettings,
        [](const auto& settings, const std::string&) { return run(settings); }));
}
