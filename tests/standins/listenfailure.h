#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <functional>
#include <stdexcept>
#include <string>

/**
 * Returns a handler for a server that cannot listen: the run of the context then throws, so that the calls of a test
 * are not answered by whatever else listens on the port.
 */
inline std::function<void(std::string)> throwListenFailure(asio::io_context& context)
{
    // The server ignores exceptions of the handler itself.
    return [&context](const std::string& message) {
        asio::post(context, [message] { throw std::runtime_error("a server of the test cannot listen: " + message); });
    };
}
