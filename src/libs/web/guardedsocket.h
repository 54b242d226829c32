#pragma once

#include "connectionreader.h"

#include <asio/associated_executor.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <memory>
#include <utility>

namespace Web {

/**
 * The socket of a connection of RESTinio, which reads what a ConnectionReader lets through. The names of the members
 * are those that RESTinio and Asio call.
 */
class GuardedSocket : public asio::ip::tcp::socket {
public:
    using asio::ip::tcp::socket::socket;

    /** Takes an accepted connection over. */
    explicit GuardedSocket(asio::ip::tcp::socket&& accepted)
        : asio::ip::tcp::socket(std::move(accepted))
    {
    }

    GuardedSocket(GuardedSocket&&) = default;
    GuardedSocket& operator=(GuardedSocket&&) = default;
    ~GuardedSocket() { this->detach(); }

    /** Begins to guard the socket, which must not be moved any more. */
    void guard(const asio::any_io_executor& executor)
    {
        this->reader = std::make_shared<ConnectionReader>(*this, executor);
    }

    const std::shared_ptr<ConnectionReader>& connectionReader() const { return this->reader; }

    template <typename Handler>
    // NOLINTNEXTLINE(readability-identifier-naming)
    void async_read_some(const asio::mutable_buffer& buffer, Handler&& handler)
    {
        if (this->reader) {
            this->reader->asyncRead(buffer, std::forward<Handler>(handler));
            return;
        }
        // RESTinio may read on after it has closed the socket, for example when it closes it while it handles a
        // request.
        const auto executor = asio::get_associated_executor(handler, this->get_executor());
        asio::post(executor, [handler = std::forward<Handler>(handler)]() mutable {
            handler(asio::error_code(asio::error::operation_aborted), 0);
        });
    }

    void close()
    {
        this->detach();
        asio::ip::tcp::socket::close();
    }

private:
    void detach()
    {
        if (const auto detached = std::exchange(this->reader, nullptr))
            detached->detach();
    }

    std::shared_ptr<ConnectionReader> reader;
};

} // namespace Web
