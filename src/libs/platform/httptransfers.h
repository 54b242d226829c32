#pragma once

#include <foundation/clock.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace asio {
class io_context;
}

namespace Platform {

/** Whether libcurl may send a call again when a kept connection breaks before the answer. */
enum class Resend : std::uint8_t {
    Allowed,
    Never,
};

/** How a call uses the connections that earlier calls left open. */
enum class ConnectionUse : std::uint8_t {
    Kept,
    /** The call opens a connection for itself, so that nothing that a kept one may bring can touch it. */
    Own,
};

struct HttpField {
    std::string name;
    std::string value;
};

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    Foundation::Duration timeout = std::chrono::seconds(5);
    Resend resend = Resend::Allowed;
    ConnectionUse connectionUse = ConnectionUse::Kept;
    /** The longest time that the TCP handshake may take. */
    Foundation::Duration connectTimeout = std::chrono::seconds(1);
    /** A kept connection that has been idle for longer is not used. */
    std::chrono::seconds maximumIdleAge { 118 };
    /** How long sent bytes may stay without an acknowledgement before the connection counts as lost; 0: no bound. */
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
};

/** How far a call got before it ended. */
enum class CallEnd : std::uint8_t {
    /** The whole answer arrived. */
    Complete,
    /** No connection was made, so the call had no effect. */
    NotConnected,
    /** The call broke off after it may have been sent. */
    Broken,
};

/** The first part of an answer. */
struct AnswerStart {
    int status = 0;
    std::string contentType;
    std::vector<HttpField> headers;
};

struct HttpCallResult {
    CallEnd end = CallEnd::Broken;
    int status = 0;
    std::string contentType;
    std::vector<HttpField> headers;
    /** The whole body, if it was not delivered in parts. */
    std::string body;
    std::string error;

    /** @return whether a whole answer with a status below 300 arrived. */
    bool isSuccess() const { return this->end == CallEnd::Complete && this->status >= 200 && this->status < 300; }
};

using CallId = std::uint64_t;
using ResultHandler = std::function<void(HttpCallResult)>;

struct StreamHandlers {
    std::function<void(AnswerStart)> onHead;
    std::function<void(std::string data)> onData;
    ResultHandler onEnd;
};

class HttpTransfers {
public:
    /**
     * @param context the context on which everything here runs; one thread may run it, which also makes all calls.
     *        It must outlive the transfers.
     */
    explicit HttpTransfers(asio::io_context& context);
    ~HttpTransfers();

    /**
     * Starts a call whose answer is collected.
     * @param call the call.
     * @param onEnd called once at its end, also after cancel().
     * @return the call's identifier.
     */
    CallId fetch(HttpCall call, ResultHandler onEnd);

    /**
     * Starts a call whose answer is delivered in parts.
     * @param call the call.
     * @param handlers called in order; onEnd once at the end, also after cancel().
     * @return the call's identifier.
     */
    CallId stream(HttpCall call, StreamHandlers handlers);

    /** Breaks a call off. */
    void cancel(CallId call);

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Platform
