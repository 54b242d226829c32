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

/**
 * Whether a call is sent once more, on a new connection, after the connection that it reused ended before any answer.
 * The server may have closed that connection as idle, or may have begun to run the call.
 */
enum class Resend : std::uint8_t {
    Allowed,
    Never,
};

/** Whether a call may use the pool of connections that earlier calls left open. */
enum class ConnectionUse : std::uint8_t {
    Pooled,
    /** The call opens and closes a connection of its own, so that no fault of a reused one can affect it. */
    Dedicated,
};

struct HttpField {
    std::string name;
    std::string value;
};

/** Larger than any answer of a store or of a log, which limit a call to a few MB. */
constexpr std::size_t defaultMaximumBodyBytes = 16 * 1024 * 1024;

struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    Foundation::Duration timeout = std::chrono::seconds(5);
    Resend resend = Resend::Allowed;
    ConnectionUse connectionUse = ConnectionUse::Pooled;
    /** The maximum duration of the TCP handshake. */
    Foundation::Duration connectTimeout = std::chrono::seconds(1);
    /** A pooled connection that has been idle for longer is not reused. */
    std::chrono::seconds maximumIdleAge { 118 };
    /** The time after which a connection counts as lost if sent bytes are not acknowledged; 0 for no limit. */
    std::chrono::milliseconds unacknowledgedTimeout { 0 };
    /** A call that is answered as a whole is broken off if the body of its answer is longer. */
    std::size_t maximumBodyBytes = defaultMaximumBodyBytes;
    /**
     * The header with which an answer names its call; without a name, answers name none. An answer that names another
     * call, or none on a connection that was used before, may be a late one: its call is broken off and the connection
     * closed.
     */
    HttpField answerId {};
    /** Sent instead of the body if it is set; shared with the request that it came with and with other calls. */
    std::shared_ptr<const std::string> sharedBody {};
};

/** The outcome of a call. */
enum class CallOutcome : std::uint8_t {
    /** The answer arrived completely, with any status. */
    Complete,
    /** No connection was established, so the call had no effect. */
    NotConnected,
    /** The call failed or was cancelled after it may have been sent. */
    Broken,
};

/** How an answer says where its body ends. */
enum class BodyFraming : std::uint8_t {
    Length,
    Chunks,
    /** The body ends with the connection, so an orderly close in the middle of it cannot be told from its end. */
    ConnectionClose,
};

/** The status and the headers of an answer. */
struct HttpAnswerHead {
    int status = 0;
    std::string contentType;
    std::vector<HttpField> headers;
    BodyFraming framing = BodyFraming::Length;
    /** Whether the connection was used before, so that the answer may be a late one to an earlier call. */
    bool isOnUsedConnection = false;
};

struct HttpCallResult {
    CallOutcome outcome = CallOutcome::Broken;
    int status = 0;
    std::string contentType;
    std::vector<HttpField> headers;
    /** The body; empty if it was passed to StreamHandlers::onData. */
    std::string body;
    std::string error;
    /** Whether no connection was established because the address refused it, and not for want of an answer. */
    bool isRefused = false;
    /** Whether the call was lost because the connection that it reused ended before a line of the answer arrived. */
    bool isKeptConnectionLost = false;
    /**
     * Whether that connection was reset at once, as the system does when a server closes a connection with data that it
     * has not read. Such a call has most likely not run, but a server can also reset a connection after it has read it.
     */
    bool isLikelyUnread = false;
    /** Whether the server sent bytes that are no answer, so that it is at work but its answer cannot be used. */
    bool isMalformed = false;

    /** Returns whether a complete answer with a status of 200 to 299 arrived. */
    bool isSuccess() const
    {
        return this->outcome == CallOutcome::Complete && this->status >= 200 && this->status < 300;
    }
};

constexpr std::size_t defaultMaximumConnections = 4'096;

using CallId = std::uint64_t;
using ResultHandler = std::function<void(HttpCallResult)>;

struct StreamHandlers {
    std::function<void(HttpAnswerHead)> onHead;
    std::function<void(std::string data)> onData;
    ResultHandler onEnd;
};

/**
 * Makes HTTP calls through libcurl on the one thread of the given context. A separate thread for libcurl cost two more
 * thread switches per call. libcurl never sends a call a second time by itself: it would do so up to five times when
 * reused connections end, and nothing would count these sends.
 */
class HttpTransfers {
public:
    /**
     * @param context runs the calls and the handlers; must outlive this object. Only one thread may run it, and all
     *        functions must be called on that thread.
     * @param maximumConnections the number of connections that may be open, used or idle. Idle ones give way to calls;
     *        calls that find no room wait until their timeout.
     */
    explicit HttpTransfers(asio::io_context& context, std::size_t maximumConnections = defaultMaximumConnections);
    ~HttpTransfers();

    /**
     * Starts a call whose answer is delivered as a whole.
     * @param onDone called once, also after cancel().
     */
    CallId fetch(HttpCall call, ResultHandler onDone);

    /**
     * Starts a call whose answer is delivered in parts.
     * @param handlers called in the order of the answer; onEnd is called once, also after cancel().
     */
    CallId stream(HttpCall call, StreamHandlers handlers);

    /** Cancels a call; ignores the ids of finished calls. */
    void cancel(CallId call);

    /**
     * Stops reading the answer of a call until resume(). Parts that were read already are still delivered. Ignores the
     * ids of finished calls.
     */
    void pause(CallId call);
    void resume(CallId call);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace Platform
