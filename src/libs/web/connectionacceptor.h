#pragma once

#include "connectionreaders.h"

#include <foundation/clock.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace Web {

/**
 * Accepts connections for a server up to a maximum number. A failure to accept one never ends accepting: RESTinio's own
 * acceptor stops after the first error, and counts connections for good that were reset before it accepted them.
 */
class ConnectionAcceptor : public std::enable_shared_from_this<ConnectionAcceptor> {
public:
    using SocketHandler = std::function<void(asio::ip::tcp::socket, const asio::ip::tcp::endpoint&)>;

    struct Settings {
        /** Further connections are accepted when others have been closed. */
        std::size_t maximumConnections = 0;
    };

    /**
     * @param context must outlive the acceptor.
     * @param clock must outlive the acceptor.
     * @param connections the connections that are open, which the handler adds to.
     * @param onAccepted called for each connection, on any thread of the context; may throw.
     */
    ConnectionAcceptor(asio::io_context& context, const Settings& settings, const Foundation::Clock& clock,
        std::shared_ptr<ConnectionReaders> connections, SocketHandler onAccepted);

    /**
     * Starts to listen.
     * @throws std::system_error if the endpoint cannot be used.
     */
    void open(const asio::ip::tcp::endpoint& endpoint);

    /** Stops listening; connections stay open. */
    void close();

    /** Returns false if callers have been waiting for some time to be accepted. Thread-safe. */
    bool canAccept() const;

private:
    using Strand = asio::strand<asio::io_context::executor_type>;

    void acceptNext();
    /** Waits until a caller needs room, since no connection should be closed before. */
    void waitForCaller();
    void waitForRoom();
    void onAcceptEnded(const asio::error_code& error, asio::ip::tcp::socket socket);
    void onAcceptFailed(const asio::error_code& error);
    void setBlocked(bool isBlocked);
    Foundation::Duration elapsedSince(Foundation::TimePoint::rep time) const;

    asio::io_context& context;
    Settings settings;
    const Foundation::Clock& clock;
    std::shared_ptr<ConnectionReaders> connections;
    SocketHandler onAccepted;
    Strand strand;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint peer;
    asio::steady_timer retryTimer;
    Foundation::TimePoint nextLine {};
    std::uint64_t unloggedFailures = 0;
    /** Since when callers wait, in ticks of the clock; 0 if none does. */
    std::atomic<Foundation::TimePoint::rep> blockedSince { 0 };
    std::atomic<Foundation::TimePoint::rep> lastFailure { 0 };
    /** Whether a caller waits until a connection is closed. */
    std::atomic<bool> isFull { false };
};

} // namespace Web
