#pragma once

#include "connectionreaders.h"
#include "receiveguard.h"
#include "requestreader.h"

#include <asio/any_io_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Web {

/**
 * Reads requests from a socket for a server that reads from it in turn: the server gets the head of a request when the
 * request is complete, and its body by takeBody(). Refuses clients that exceed limits or make no progress, and then
 * closes the connection. All calls except takeBody() must come on the connection's executor.
 */
class ConnectionReader : public std::enable_shared_from_this<ConnectionReader> {
public:
    using ReadHandler = std::function<void(const asio::error_code&, std::size_t)>;

    /** @param socket must stay where it is until detach() is called. @param executor the one of its connection. */
    ConnectionReader(asio::ip::tcp::socket& socket, const asio::any_io_executor& executor);

    /** Sets what the server knows of the connection; must be called before the first read. */
    void attach(std::uint64_t connectionNumber, std::shared_ptr<ReceiveGuard> newGuard,
        std::shared_ptr<ConnectionReaders> newRegistry);

    /** Ends the use of the socket, which is about to be closed. */
    void detach();

    /** Reads the head of the next request, or the next part of it. The handler is called on the executor. */
    void asyncRead(asio::mutable_buffer newBuffer, ReadHandler handler);

    /** Returns the body of the request whose head was read last. */
    std::shared_ptr<const std::string> takeBody();

    /** Tells that the response to the oldest request was written or has failed. May be called on any thread. */
    void onAnswered();

    /** Breaks the connection off; what was not sent yet is dropped. Thread-safe. */
    void disconnect();

    /** Closes the connection if it still waits for a request, so that another caller has room. Thread-safe. */
    void closeIfIdle();

private:
    void beginRequest();
    void readMore(ReadHandler handler);
    void onRead(const asio::error_code& error, std::size_t bytes, ReadHandler handler);
    void process(std::string_view data, ReadHandler handler);
    void handOver(ReadHandler handler);
    void complete(ReadHandler handler, const asio::error_code& error, std::size_t bytes);
    void discard(std::size_t bytes, ReadHandler handler);
    void refuse(ClientRefusal refusal);
    /** Responds to a refused request once the earlier ones on the connection have been answered. */
    void respondToRefused();
    void endAfter(Foundation::Duration delay);
    void cancelRead();
    void updateDeadline();
    bool isIdle() const;
    void reportIdle();
    void waitForDeadline();
    void onDeadline();
    bool hasUnreadBytes() const;

    asio::ip::tcp::socket* socket;
    asio::any_io_executor executor;
    asio::steady_timer timer;
    std::shared_ptr<ReceiveGuard> guard;
    std::shared_ptr<ConnectionReaders> registry;
    std::uint64_t connection = 0;
    ReceiveLimits limits;
    /** Counts the requests on the connection. */
    std::uint64_t requestNumber = 0;
    RequestReader request;
    asio::mutable_buffer buffer;
    /** What was read after the end of a request. */
    std::string rest;
    /** The head that is being handed over, and how much of it was. */
    std::string head;
    std::size_t handedOverBytes = 0;
    std::mutex bodyMutex;
    std::shared_ptr<const std::string> body;
    /** The number of requests that were handed over and whose responses were not written yet. */
    std::size_t unanswered = 0;
    std::optional<Foundation::TimePoint> deadline;
    std::optional<Foundation::TimePoint> timerEnd;
    Foundation::TimePoint idleSince {};
    RequestReader::Phase lastPhase = RequestReader::Phase::Idle;
    /** The number of bytes of the body when the deadline was set. */
    std::size_t progressMark = 0;
    bool isReportedIdle = false;
    /** Why the last request was refused, until the response to it is sent. */
    std::optional<ClientRefusal> unansweredRefusal;
    bool isEnding = false;
    std::size_t discardedBytes = 0;
};

} // namespace Web
