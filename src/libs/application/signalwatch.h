#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>

namespace Application {

class SignalWatch {
public:
    /**
     * Starts to wait for SIGTERM and SIGINT, and makes the process ignore SIGPIPE.
     * @param context the context on which the handler runs; must outlive this object.
     * @param onStop called once, on the first of these signals.
     */
    SignalWatch(asio::io_context& context, std::function<void()> onStop);

private:
    asio::signal_set signals;
};

} // namespace Application
