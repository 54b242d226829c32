#include "signalwatch.h"

#include <csignal>

namespace Application {

/**
 * @class SignalWatch
 * Starts a graceful shutdown when the process receives a termination signal.
 */
SignalWatch::SignalWatch(asio::io_context& context, std::function<void()> onStop)
    : signals(context, SIGTERM, SIGINT)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->signals.async_wait([onStop = std::move(onStop)](const std::error_code& error, int) {
        if (!error)
            onStop();
    });
}

} // namespace Application
