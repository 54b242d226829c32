#include "httptransfers.h"

#include "transfer.h"

#include <asio.hpp>

#include <map>

namespace Platform {

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
    State(asio::io_context& context, std::size_t maximumConnections)
        : context(context)
        , multi(curl_multi_init())
        , timer(context)
    {
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, static_cast<long>(maximumConnections));
        curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, static_cast<long>(maximumConnections));
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
        transfer.deliver
            = [this, id = transfer.id, onData = transfer.handlers.onData](std::string part, std::size_t receivedBytes) {
                  asio::post(this->context,
                      [weak = this->weak_from_this(), id, onData, receivedBytes, part = std::move(part)]() mutable {
                          onData(std::move(part));
                          if (const auto self = weak.lock())
                              self->onDelivered(id, receivedBytes);
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

HttpTransfers::HttpTransfers(asio::io_context& context, std::size_t maximumConnections)
    : state(std::make_shared<State>(context, maximumConnections))
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
