#include "httptransfers.h"

#include <asio.hpp>
#include <curl/curl.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <map>

namespace Platform {

namespace {

// libcurl's default of 64 KB for each call with a body is larger than most bodies here.
constexpr long uploadBufferBytes = 16 * 1024;
constexpr long maximumPooledConnections = 4'096;
// All heads of an answer together, the interim ones (1xx) included. Servers commonly limit a head to 8 or 16 KB.
constexpr std::size_t maximumHeadBytes = 128 * 1024;
constexpr int firstFinalStatus = 200;
// A server closes an idle connection without having begun to handle a call that arrives just then. A later reset may as
// well end a call that runs. Allows for a round trip between distant domains.
constexpr curl_off_t unreadResetMicroseconds = 50'000;
// No more is read of an answer while this much of it waits for its handler, so that a fast answer neither fills the
// memory nor holds up the other calls for long.
constexpr std::size_t maximumUndeliveredBytes = 64 * 1024;

struct CurlDeleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

// A call in progress.
struct Transfer {
    CallId id = 0;
    HttpCall call;
    StreamHandlers handlers;
    std::unique_ptr<CURL, CurlDeleter> easy;
    std::unique_ptr<curl_slist, ListDeleter> headerList;
    asio::io_context* context = nullptr;
    HttpCallResult result;
    std::size_t headBytes = 0;
    /** Whether the line that ends the head of the final answer was received. */
    bool isHeadComplete = false;
    /** Why this process ended the call; empty if it did not. */
    std::string_view abortReason;
    std::size_t undeliveredBytes = 0;
    bool isPaused = false;
    /** Whether libcurl holds a part of the body back until the call is continued. */
    bool isHeldBack = false;
    /** Delivers a part of the body to the handler. */
    std::function<void(std::string part)> deliver;
    /** Whether a connection was established on which libcurl began to send the call. */
    bool wasSent = false;
    /** Whether the current handle has begun to send the call; it must not do so again. */
    bool wasSentByHandle = false;
    /** Whether the connection on which the current handle sent the call was used before. */
    bool isConnectionUsed = false;
    /** Whether libcurl tried to send the call a second time by itself. */
    bool isLibraryResendRefused = false;
    /** Whether the call was sent again on a new connection. */
    bool isResent = false;
};

std::string answerContentType(CURL* easy)
{
    const char* type = nullptr;
    curl_easy_getinfo(easy, CURLINFO_CONTENT_TYPE, &type);
    return type ? type : "";
}

int answerStatus(CURL* easy)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

// Returns the errno of the last operation on a socket that failed.
long socketError(CURL* easy)
{
    long error = 0;
    curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
    return error;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::string_view findHeader(const Transfer& transfer, std::string_view name)
{
    const auto found = std::ranges::find_if(transfer.result.headers,
        [name](const HttpField& field) { return curl_strequal(field.name.c_str(), name.data()) != 0; });
    return found == transfer.result.headers.end() ? std::string_view() : std::string_view(found->value);
}

BodyFraming framingOf(const Transfer& transfer)
{
    if (!findHeader(transfer, "Transfer-Encoding").empty())
        return BodyFraming::Chunks;
    return findHeader(transfer, "Content-Length").empty() ? BodyFraming::ConnectionClose : BodyFraming::Length;
}

// libcurl reads the body up to the end of the connection if the length is too large for its type.
bool hasUnusableLength(const Transfer& transfer)
{
    if (framingOf(transfer) != BodyFraming::Length)
        return false;
    const std::string_view text = findHeader(transfer, "Content-Length");
    curl_off_t length = 0;
    return std::from_chars(text.data(), text.data() + text.size(), length).ec != std::errc();
}

bool hasReusedConnection(CURL* easy)
{
    long newConnections = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &newConnections);
    return newConnections == 0;
}

bool belongsToCall(const Transfer& transfer)
{
    const HttpField& expected = transfer.call.answerId;
    if (expected.name.empty())
        return true;
    const std::string_view named = findHeader(transfer, expected.name);
    return named.empty() ? !transfer.isConnectionUsed : named == expected.value;
}

void deliverHead(const Transfer& transfer)
{
    if (!transfer.handlers.onHead)
        return;
    asio::post(*transfer.context,
        [onHead = transfer.handlers.onHead,
            head = HttpAnswerHead { answerStatus(transfer.easy.get()), answerContentType(transfer.easy.get()),
                transfer.result.headers, framingOf(transfer), transfer.isConnectionUsed }]() mutable {
            onHead(std::move(head));
        });
}

std::size_t onHeader(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<Transfer*>(user);
    auto& headers = transfer.result.headers;
    const std::string_view line(data, size * count);
    // Ignores trailers, which follow a body in chunks.
    if (transfer.isHeadComplete)
        return line.size();
    transfer.headBytes += line.size();
    if (transfer.headBytes > maximumHeadBytes) {
        transfer.abortReason = "the head of the answer is too long";
        return 0;
    }
    if (line.starts_with("HTTP/")) {
        // Drops the headers of an interim answer (1xx) that precedes this one.
        headers.clear();
        return line.size();
    }
    if (trimmed(line).empty()) {
        transfer.isHeadComplete = answerStatus(transfer.easy.get()) >= firstFinalStatus;
        if (!transfer.isHeadComplete)
            return line.size();
        deliverHead(transfer);
        if (belongsToCall(transfer))
            return line.size();
        transfer.abortReason = "the answer belongs to another call";
        return 0;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos)
        headers.push_back({ std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))) });
    return line.size();
}

// Called for each new connection of a call.
int setSocketOptions(void* user, curl_socket_t socket, curlsocktype)
{
    auto& transfer = *static_cast<Transfer*>(user);
    // libcurl opens a second connection for a call only to send it again.
    if (transfer.wasSentByHandle) {
        transfer.isLibraryResendRefused = true;
        return CURL_SOCKOPT_ERROR;
    }
    if (transfer.call.unacknowledgedTimeout.count() == 0)
        return CURL_SOCKOPT_OK;
    const unsigned timeoutMs = static_cast<unsigned>(transfer.call.unacknowledgedTimeout.count());
    // A failure is ignored: the timeout of the call also detects a lost connection, only later.
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
    return CURL_SOCKOPT_OK;
}

std::size_t onBody(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& transfer = *static_cast<Transfer*>(user);
    const std::size_t bytes = size * count;
    if (transfer.deliver) {
        transfer.isHeldBack = transfer.isPaused || transfer.undeliveredBytes >= maximumUndeliveredBytes;
        if (transfer.isHeldBack)
            return CURL_WRITEFUNC_PAUSE;
        transfer.undeliveredBytes += bytes;
        transfer.deliver(std::string(data, bytes));
        return bytes;
    }
    if (transfer.result.body.size() + bytes > transfer.call.maximumBodyBytes) {
        transfer.abortReason = "the body of the answer is too long";
        return 0;
    }
    transfer.result.body.append(data, bytes);
    return bytes;
}

const std::string& bodyOf(const HttpCall& call) { return call.sharedBody ? *call.sharedBody : call.body; }

// Called before each sending of a call.
int onBeforeSend(void* user, char*, char*, int, int)
{
    auto& transfer = *static_cast<Transfer*>(user);
    if (transfer.wasSentByHandle) {
        transfer.isLibraryResendRefused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.wasSent = true;
    transfer.wasSentByHandle = true;
    transfer.isConnectionUsed = hasReusedConnection(transfer.easy.get());
    // Without it, libcurl would take a further pooled connection for a second sending, which is then closed unused.
    curl_easy_setopt(transfer.easy.get(), CURLOPT_FRESH_CONNECT, 1L);
    return CURL_PREREQFUNC_OK;
}

// Returns whether a reused connection ended before a line of the answer arrived. libcurl sends such a call again by
// itself unless it failed to send a long body.
bool isKeptConnectionLost(CURLcode code, const Transfer& transfer)
{
    return transfer.wasSentByHandle && transfer.isConnectionUsed && transfer.headBytes == 0
        && (transfer.isLibraryResendRefused || code == CURLE_SEND_ERROR);
}

// A call that libcurl failed to send was not received as a whole.
bool isLikelyUnread(CURLcode code, const Transfer& transfer)
{
    curl_off_t elapsedMicroseconds = 0;
    curl_easy_getinfo(transfer.easy.get(), CURLINFO_TOTAL_TIME_T, &elapsedMicroseconds);
    const bool isResetAtOnce
        = socketError(transfer.easy.get()) == ECONNRESET && elapsedMicroseconds < unreadResetMicroseconds;
    return isKeptConnectionLost(code, transfer)
        && (isResetAtOnce || (code == CURLE_SEND_ERROR && !transfer.isLibraryResendRefused));
}

// Returns why an answer that libcurl takes as complete is not; empty if it is complete.
std::string_view findDefect(const Transfer& transfer)
{
    if (!transfer.isHeadComplete)
        return "the connection was closed in the head of the answer";
    return hasUnusableLength(transfer) ? "the length of the answer is not usable" : std::string_view();
}

CallOutcome toCallOutcome(CURLcode code, const Transfer& transfer)
{
    if (code == CURLE_OK)
        return findDefect(transfer).empty() ? CallOutcome::Complete : CallOutcome::Broken;
    // A reused connection may break after the call was sent on it, and libcurl's new connection may be refused.
    if (transfer.wasSent)
        return CallOutcome::Broken;
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_OPERATION_TIMEDOUT:
        return CallOutcome::NotConnected;
    default:
        return CallOutcome::Broken;
    }
}

void useDedicatedConnection(CURL* easy)
{
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

void setBody(Transfer& transfer)
{
    const HttpCall& call = transfer.call;
    CURL* const easy = transfer.easy.get();
    const bool hasBody
        = !bodyOf(call).empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
    if (!hasBody)
        return;
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(bodyOf(call).size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, bodyOf(call).data());
}

void setOptions(Transfer& transfer)
{
    CURL* const easy = transfer.easy.get();
    const HttpCall& call = transfer.call;
    const long timeoutMs = std::max<long>(1, static_cast<long>(Foundation::toMilliseconds(call.timeout)));
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeoutMs);
    const auto connectTimeoutMs = static_cast<long>(Foundation::toMilliseconds(call.connectTimeout));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, std::max<long>(1, connectTimeoutMs));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(call.maximumIdleAge.count()));
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, uploadBufferBytes);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &setSocketOptions);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, &transfer);
    if (call.connectionUse == ConnectionUse::Dedicated)
        useDedicatedConnection(easy);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    // An empty name disables the proxies of the environment variables.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    setBody(transfer);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    // Removes the header with which libcurl waits for an interim answer before it sends a long body.
    curl_slist* list = curl_slist_append(nullptr, "Expect:");
    for (const std::string& header : call.headers)
        list = curl_slist_append(list, header.c_str());
    transfer.headerList.reset(list);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
}

std::string errorText(CURLcode code, const Transfer& transfer)
{
    if (code == CURLE_OK)
        return std::string(findDefect(transfer));
    if (isKeptConnectionLost(code, transfer))
        return "the reused connection ended before the answer";
    return transfer.abortReason.empty() ? curl_easy_strerror(code) : std::string(transfer.abortReason);
}

void deliverResult(Transfer& transfer, CURLcode code)
{
    transfer.result.outcome = toCallOutcome(code, transfer);
    transfer.result.status = answerStatus(transfer.easy.get());
    transfer.result.contentType = answerContentType(transfer.easy.get());
    transfer.result.error = errorText(code, transfer);
    transfer.result.isKeptConnectionLost = isKeptConnectionLost(code, transfer);
    transfer.result.isLikelyUnread = isLikelyUnread(code, transfer);
    transfer.result.isRefused
        = code == CURLE_COULDNT_CONNECT && !transfer.wasSent && socketError(transfer.easy.get()) == ECONNREFUSED;
    asio::post(
        *transfer.context, [onEnd = std::move(transfer.handlers.onEnd), result = std::move(transfer.result)]() mutable {
            onEnd(std::move(result));
        });
}

} // namespace

// Waits on the context for events of a libcurl socket.
struct SocketWatch {
    SocketWatch(asio::io_context& context, curl_socket_t socket)
        : descriptor(context, socket)
    {
    }

    ~SocketWatch() { this->stop(); }

    // Stops watching the socket without closing it, since libcurl owns it.
    void stop()
    {
        if (this->descriptor.is_open())
            this->descriptor.release();
    }

    asio::posix::stream_descriptor descriptor;
    int pollFlags = 0;
    bool isWaitingToRead = false;
    bool isWaitingToWrite = false;
};

struct HttpTransfers::State : std::enable_shared_from_this<HttpTransfers::State> {
    explicit State(asio::io_context& context)
        : context(context)
        , multi(curl_multi_init())
        , timer(context)
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, maximumPooledConnections);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &State::onSocket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &State::onTimer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    }

    ~State()
    {
        for (auto& [id, transfer] : this->active)
            curl_multi_remove_handle(this->multi, transfer->easy.get());
        this->active.clear();
        this->idleHandles.clear();
        curl_multi_cleanup(this->multi);
    }

    CallId enqueue(HttpCall call, StreamHandlers handlers)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->handlers = std::move(handlers);
        transfer->context = &this->context;
        transfer->id = ++this->lastId;
        transfer->easy = this->acquireHandle();
        if (transfer->handlers.onData)
            this->setDelivery(*transfer);
        setOptions(*transfer);
        CURL* const easy = transfer->easy.get();
        this->active[transfer->id] = std::move(transfer);
        curl_multi_add_handle(this->multi, easy);
        return this->lastId;
    }

    // The handlers run later, since they may cancel the call, which libcurl does not allow in its callbacks.
    void setDelivery(Transfer& transfer)
    {
        transfer.deliver = [this, id = transfer.id, onData = transfer.handlers.onData](std::string part) {
            asio::post(this->context, [weak = this->weak_from_this(), id, onData, part = std::move(part)]() mutable {
                const std::size_t bytes = part.size();
                onData(std::move(part));
                if (const auto self = weak.lock())
                    self->onDelivered(id, bytes);
            });
        };
    }

    void onDelivered(CallId id, std::size_t bytes)
    {
        const auto found = this->active.find(id);
        if (found == this->active.end())
            return;
        found->second->undeliveredBytes -= bytes;
        this->continueIfPossible(*found->second);
    }

    void setPaused(CallId id, bool isPaused)
    {
        const auto found = this->active.find(id);
        if (found == this->active.end())
            return;
        found->second->isPaused = isPaused;
        this->continueIfPossible(*found->second);
    }

    void continueIfPossible(Transfer& transfer)
    {
        if (!transfer.isHeldBack || transfer.isPaused || transfer.undeliveredBytes > 0)
            return;
        transfer.isHeldBack = false;
        curl_easy_pause(transfer.easy.get(), CURLPAUSE_CONT);
    }

    void cancel(CallId id)
    {
        const auto found = this->active.find(id);
        if (found != this->active.end())
            this->finish(*found->second, CURLE_ABORTED_BY_CALLBACK);
    }

    static int onSocket(CURL*, curl_socket_t socket, int what, void* user, void*)
    {
        static_cast<State*>(user)->updateWatch(socket, what);
        return 0;
    }

    static int onTimer(CURLM*, long timeoutMs, void* user)
    {
        static_cast<State*>(user)->setTimer(timeoutMs);
        return 0;
    }

    void updateWatch(curl_socket_t socket, int what)
    {
        if (what == CURL_POLL_REMOVE) {
            // The running handler may still hold the watch, and libcurl may reuse the socket number at once. A watch
            // that is released only later would remove the new watch's registration in the reactor.
            const auto found = this->watches.find(socket);
            if (found != this->watches.end()) {
                found->second->stop();
                this->watches.erase(found);
            }
            return;
        }
        auto& slot = this->watches[socket];
        if (!slot)
            slot = std::make_shared<SocketWatch>(this->context, socket);
        slot->pollFlags = what;
        this->waitForEvents(socket, slot);
    }

    void waitForEvents(curl_socket_t socket, const std::shared_ptr<SocketWatch>& socketWatch)
    {
        using Descriptor = asio::posix::stream_descriptor;
        if ((socketWatch->pollFlags & CURL_POLL_IN) != 0 && !socketWatch->isWaitingToRead) {
            socketWatch->isWaitingToRead = true;
            this->waitForEvent(
                socket, socketWatch, Descriptor::wait_read, &SocketWatch::isWaitingToRead, CURL_CSELECT_IN);
        }
        if ((socketWatch->pollFlags & CURL_POLL_OUT) != 0 && !socketWatch->isWaitingToWrite) {
            socketWatch->isWaitingToWrite = true;
            this->waitForEvent(
                socket, socketWatch, Descriptor::wait_write, &SocketWatch::isWaitingToWrite, CURL_CSELECT_OUT);
        }
    }

    void waitForEvent(curl_socket_t socket, const std::shared_ptr<SocketWatch>& socketWatch,
        asio::posix::stream_descriptor::wait_type type, bool SocketWatch::*flag, int action)
    {
        const std::weak_ptr<SocketWatch> weak = socketWatch;
        socketWatch->descriptor.async_wait(type, [this, socket, weak, flag, action](const asio::error_code& error) {
            const auto alive = weak.lock();
            if (error || !alive)
                return;
            (*alive).*flag = false;
            this->processSocket(socket, action);
            // Waits for the next event unless libcurl has removed the socket meanwhile.
            const auto found = this->watches.find(socket);
            if (found != this->watches.end() && found->second == alive)
                this->waitForEvents(socket, alive);
        });
    }

    void setTimer(long timeoutMs)
    {
        this->timer.cancel();
        if (timeoutMs < 0)
            return;
        this->timer.expires_after(std::chrono::milliseconds(timeoutMs));
        this->timer.async_wait([this](const asio::error_code& error) {
            if (!error)
                this->processSocket(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void processSocket(curl_socket_t socket, int action)
    {
        int runningCount = 0;
        curl_multi_socket_action(this->multi, socket, action, &runningCount);
        int remainingMessages = 0;
        while (const CURLMsg* const message = curl_multi_info_read(this->multi, &remainingMessages)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            char* user = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
            this->finish(*reinterpret_cast<Transfer*>(user), message->data.result);
        }
    }

    bool resendIfKeptConnectionLost(Transfer& transfer, CURLcode code)
    {
        if (transfer.call.resend == Resend::Never || transfer.isResent || !isKeptConnectionLost(code, transfer))
            return false;
        CURL* const easy = transfer.easy.get();
        curl_off_t elapsedMicroseconds = 0;
        curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &elapsedMicroseconds);
        transfer.isResent = true;
        transfer.wasSentByHandle = false;
        transfer.isConnectionUsed = false;
        transfer.isLibraryResendRefused = false;
        transfer.call.timeout -= std::chrono::microseconds(elapsedMicroseconds);
        curl_multi_remove_handle(this->multi, easy);
        transfer.easy.reset(curl_easy_init());
        setOptions(transfer);
        curl_easy_setopt(transfer.easy.get(), CURLOPT_FRESH_CONNECT, 1L);
        curl_multi_add_handle(this->multi, transfer.easy.get());
        return true;
    }

    void finish(Transfer& transfer, CURLcode code)
    {
        if (this->resendIfKeptConnectionLost(transfer, code))
            return;
        deliverResult(transfer, code);
        curl_multi_remove_handle(this->multi, transfer.easy.get());
        const auto found = this->active.find(transfer.id);
        // curl_easy_reset() does not clear what libcurl has noted for a resend that did not begin.
        if (code == CURLE_OK)
            this->idleHandles.push_back(std::move(found->second->easy));
        this->active.erase(found);
    }

    // Reuses handles, since setting one up costs more than a short call.
    std::unique_ptr<CURL, CurlDeleter> acquireHandle()
    {
        if (this->idleHandles.empty())
            return std::unique_ptr<CURL, CurlDeleter>(curl_easy_init());
        auto easy = std::move(this->idleHandles.back());
        this->idleHandles.pop_back();
        curl_easy_reset(easy.get());
        return easy;
    }

    asio::io_context& context;
    CURLM* multi;
    asio::steady_timer timer;
    std::map<curl_socket_t, std::shared_ptr<SocketWatch>> watches;
    std::map<CallId, std::unique_ptr<Transfer>> active;
    std::vector<std::unique_ptr<CURL, CurlDeleter>> idleHandles;
    CallId lastId = 0;
};

HttpTransfers::HttpTransfers(asio::io_context& context)
    : state(std::make_shared<State>(context))
{
}

HttpTransfers::~HttpTransfers() = default;

CallId HttpTransfers::fetch(HttpCall call, ResultHandler onDone)
{
    return this->state->enqueue(std::move(call), { {}, {}, std::move(onDone) });
}

CallId HttpTransfers::stream(HttpCall call, StreamHandlers handlers)
{
    return this->state->enqueue(std::move(call), std::move(handlers));
}

void HttpTransfers::cancel(CallId call) { this->state->cancel(call); }

void HttpTransfers::pause(CallId call) { this->state->setPaused(call, true); }

void HttpTransfers::resume(CallId call) { this->state->setPaused(call, false); }

} // namespace Platform
