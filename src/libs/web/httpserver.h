#pragma once

#include "httprequest.h"

#include <foundation/resultcode.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace asio {
class io_context;
}

namespace Web {

class ReceiveGuard;

/** A received request and the means to respond to it. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    /** Sends a complete response. Has no effect if a response was already sent or begun. */
    virtual void respond(HttpReply reply) = 0;

    /** Begins a chunked response. The body of the given reply is ignored. */
    virtual void beginStream(const HttpReply& head) = 0;

    /** Sends a part of the body of a chunked response. */
    virtual void write(std::string part) = 0;

    /** Returns the number of bytes that were passed to write() and have not been sent yet. */
    virtual std::size_t unsentBytes() const = 0;

    /** Sets a handler that is called, on any thread, after a part of a chunked response was sent. */
    virtual void setSentHandler(std::function<void()> handler) = 0;

    /**
     * Ends a chunked response.
     * @param attachment kept until the response was sent or its connection closed.
     */
    virtual void finish(std::shared_ptr<void> attachment = {}) = 0;

    /**
     * Closes the connection without ending the response, so that the caller sees that it is incomplete. What was
     * written is still sent, unless that is much.
     */
    virtual void abort() = 0;

    /**
     * Sets the handler for the case that the caller closes its connection before the response has ended.
     * @param handler called at most once, on any thread; called immediately if the connection is already closed.
     */
    virtual void setDisconnectHandler(std::function<void()> handler) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

struct HttpServerSettings {
    std::string address;
    std::uint16_t port = 0;
    /** Applies if there is no guard. */
    std::uint64_t maximumBodyBytes = 0;
    /** The limits for clients, shared by the servers of a process; null for the defaults and no bound of the memory. */
    std::shared_ptr<ReceiveGuard> guard {};
    /** Further connections are accepted when others have been closed. */
    std::size_t maximumConnections = std::numeric_limits<std::size_t>::max();
};

class HttpServer {
public:
    /**
     * @param context the context whose threads run the server; must outlive it.
     * @param handler called for each request, on any thread of the context.
     */
    HttpServer(asio::io_context& context, const HttpServerSettings& settings, HttpHandler handler);
    ~HttpServer();

    /**
     * Starts to listen. Must be called before the context runs.
     * @param onFailure called with a message if the server cannot listen on the port.
     */
    void start(std::function<void(std::string)> onFailure);

    /** Stops listening; connections stay open. */
    void stop();

    /** Returns false if callers have been waiting for some time to be accepted. Thread-safe. */
    bool canAccept() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Web
