#include "httpserver.h"

#include "connectionacceptor.h"
#include "guardedsocket.h"

#include <restinio/all.hpp>

#include <atomic>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace Web {

namespace {

// Requests end by their own deadlines; the longest timeout that can be configured is a day. These limits only close
// connections that are stuck.
constexpr auto requestTimeLimit = std::chrono::hours(25);
constexpr auto writeTimeLimit = std::chrono::seconds(60);
// The server continues to read while it serves a request, to detect that the connection was closed. A second request
// may arrive in the meantime.
constexpr std::size_t pipelinedRequests = 2;
// What is sent of an aborted response, so that callers that read get the parts that were written.
constexpr std::size_t maximumUnsentAtAbort = 64 * 1024;

class RestinioExchange;

// The connection of an exchange and the number of its request on it.
using ExchangeId = std::pair<restinio::connection_id_t, restinio::request_id_t>;

ExchangeId idOf(const restinio::request_t& request) { return { request.connection_id(), request.request_id() }; }

// Finds the exchanges in progress on a connection that was closed. An exchange that was answered may be released after
// the next one on its connection has begun.
class ExchangeRegistry {
public:
    void add(const ExchangeId& id, const std::shared_ptr<RestinioExchange>& exchange)
    {
        const std::lock_guard lock(this->mutex);
        this->exchanges[id] = exchange;
    }

    void remove(const ExchangeId& id)
    {
        const std::lock_guard lock(this->mutex);
        this->exchanges.erase(id);
    }

    std::vector<std::shared_ptr<RestinioExchange>> takeAll(restinio::connection_id_t connection)
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::shared_ptr<RestinioExchange>> taken;
        auto next = this->exchanges.lower_bound({ connection, 0 });
        while (next != this->exchanges.end() && next->first.first == connection) {
            if (auto exchange = next->second.lock())
                taken.push_back(std::move(exchange));
            next = this->exchanges.erase(next);
        }
        return taken;
    }

private:
    std::mutex mutex;
    std::map<ExchangeId, std::weak_ptr<RestinioExchange>> exchanges;
};

// Counts the bytes of a chunked response that wait to be sent. Outlives the exchange while a write is in progress.
class SendProgress {
public:
    void begin(std::size_t bytes) { this->unsent.fetch_add(bytes, std::memory_order_relaxed); }

    void end(std::size_t bytes)
    {
        this->unsent.fetch_sub(bytes, std::memory_order_relaxed);
        std::function<void()> handler;
        {
            const std::lock_guard lock(this->mutex);
            handler = this->sentHandler;
        }
        if (handler)
            handler();
    }

    void setHandler(std::function<void()> handler)
    {
        const std::lock_guard lock(this->mutex);
        this->sentHandler = std::move(handler);
    }

    std::size_t unsentBytes() const { return this->unsent.load(std::memory_order_relaxed); }

private:
    std::atomic<std::size_t> unsent { 0 };
    std::mutex mutex;
    std::function<void()> sentHandler;
};

class RestinioExchange final : public HttpExchange {
public:
    RestinioExchange(restinio::request_handle_t source, std::shared_ptr<ExchangeRegistry> registry,
        const std::shared_ptr<ConnectionReader>& reader)
        : source(std::move(source))
        , reader(reader)
        , connection(restinio::impl::access_req_connection(*this->source))
        , registry(std::move(registry))
    {
        this->readRequest();
    }

    ~RestinioExchange() override { this->registry->remove(idOf(*this->source)); }

    const HttpRequest& request() const override { return this->parsed; }

    void respond(HttpReply reply) override
    {
        if (this->isAnswered.exchange(true))
            return;
        this->unregister();
        if (this->parsed.method == "HEAD") {
            auto response = this->source->create_response<restinio::user_controlled_output_t>(statusLine(reply.status));
            response.set_content_length(reply.announcedLength.value_or(reply.body.size()));
            this->send(response, std::move(reply));
            return;
        }
        auto response = this->source->create_response(statusLine(reply.status));
        response.set_body(std::exchange(reply.body, {}));
        this->send(response, std::move(reply));
    }

    /** Sends a response, whose body and length are set, with the headers of the reply. */
    template <typename Response> void send(Response& response, HttpReply reply)
    {
        if (reply.closesConnection)
            response.connection_close();
        if (!reply.contentType.empty())
            response.append_header(restinio::http_field::content_type, reply.contentType);
        for (HttpHeader& header : reply.headers)
            response.append_header(std::move(header.name), std::move(header.value));
        response.done([attachment = std::move(reply.attachment), answered = this->reader](
                          const auto&) { tellAnswered(answered); });
    }

    void beginStream(const HttpReply& head) override
    {
        if (this->isAnswered.exchange(true))
            return;
        const std::lock_guard lock(this->streamMutex);
        this->stream.emplace(this->source->create_response<restinio::chunked_output_t>(statusLine(head.status)));
        if (head.closesConnection)
            this->stream->connection_close();
        if (!head.contentType.empty())
            this->stream->append_header(restinio::http_field::content_type, head.contentType);
        for (const HttpHeader& header : head.headers)
            this->stream->append_header(header.name, header.value);
        this->stream->flush();
    }

    void write(std::string part) override
    {
        const std::lock_guard lock(this->streamMutex);
        if (!this->stream || part.empty())
            return;
        const std::size_t bytes = part.size();
        this->progress->begin(bytes);
        this->stream->append_chunk(std::move(part));
        this->stream->flush([sending = this->progress, bytes](const auto&) { sending->end(bytes); });
    }

    std::size_t unsentBytes() const override { return this->progress->unsentBytes(); }

    void setSentHandler(std::function<void()> handler) override { this->progress->setHandler(std::move(handler)); }

    void finish(std::shared_ptr<void> attachment) override
    {
        this->unregister();
        const std::lock_guard lock(this->streamMutex);
        if (!this->stream)
            return;
        this->stream->done(
            [attachment = std::move(attachment), answered = this->reader](const auto&) { tellAnswered(answered); });
        this->stream.reset();
    }

    void abort() override
    {
        this->unregister();
        this->isAnswered = true;
        const std::lock_guard lock(this->streamMutex);
        this->stream.reset();
        // Nobody accounts any more for what a caller that does not read has not received.
        if (const auto found = this->reader.lock(); found && this->unsentBytes() > maximumUnsentAtAbort)
            found->disconnect();
        // The terminating chunk of the body is never sent, so the caller sees that the response is incomplete.
        restinio::writable_items_container_t items;
        items.emplace_back(std::string());
        this->connection->write_response_parts(this->source->request_id(),
            restinio::response_output_flags_t(
                restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr_t::connection_close),
            restinio::write_group_t(std::move(items)));
    }

    void setDisconnectHandler(std::function<void()> handler) override
    {
        const std::lock_guard lock(this->disconnectMutex);
        if (this->isDisconnected)
            handler();
        else
            this->disconnectHandler = std::move(handler);
    }

    void handleDisconnect()
    {
        std::function<void()> handler;
        {
            const std::lock_guard lock(this->disconnectMutex);
            this->isDisconnected = true;
            handler = std::move(this->disconnectHandler);
        }
        if (handler)
            handler();
    }

private:
    static restinio::http_status_line_t statusLine(int status)
    {
        return { restinio::http_status_code_t(static_cast<std::uint16_t>(status)), status < 400 ? "OK" : "Error" };
    }

    static void tellAnswered(const std::weak_ptr<ConnectionReader>& connectionReader)
    {
        if (const auto found = connectionReader.lock())
            found->onAnswered();
    }

    void readRequest()
    {
        const auto& header = this->source->header();
        this->parsed.method = header.method().c_str();
        this->parsed.target = header.request_target();
        this->parsed.path = std::string(header.path());
        this->parsed.query = std::string(header.query());
        header.for_each_field([this](const auto& field) {
            this->parsed.headers.push_back({ std::string(field.name()), std::string(field.value()) });
        });
        if (const auto found = this->reader.lock())
            this->parsed.sharedBody = found->takeBody();
    }

    // Stops the handling of disconnects; called before the response is completed or aborted.
    void unregister()
    {
        this->progress->setHandler(nullptr);
        this->registry->remove(idOf(*this->source));
        const std::lock_guard lock(this->disconnectMutex);
        this->disconnectHandler = nullptr;
    }

    restinio::request_handle_t source;
    std::weak_ptr<ConnectionReader> reader;
    restinio::impl::connection_handle_t connection;
    std::shared_ptr<ExchangeRegistry> registry;
    HttpRequest parsed;
    std::atomic<bool> isAnswered { false };
    std::shared_ptr<SendProgress> progress = std::make_shared<SendProgress>();
    std::mutex streamMutex;
    std::optional<restinio::response_builder_t<restinio::chunked_output_t>> stream;
    std::mutex disconnectMutex;
    std::function<void()> disconnectHandler;
    bool isDisconnected = false;
};

// The reader of the connection that RESTinio is about to report as accepted. RESTinio constructs sockets without any
// settings of the server and reports connections without their sockets, both in one call on one thread.
thread_local ConnectionReader* acceptedReader = nullptr;

class ConnectionListener {
public:
    ConnectionListener(std::shared_ptr<ExchangeRegistry> registry, std::shared_ptr<ConnectionReaders> readers,
        std::shared_ptr<ReceiveGuard> guard)
        : registry(std::move(registry))
        , readers(std::move(readers))
        , guard(std::move(guard))
    {
    }

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause()) && acceptedReader)
            acceptedReader->attach(notice.connection_id(), this->guard, this->readers);
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            return;
        for (const auto& exchange : this->registry->takeAll(notice.connection_id()))
            exchange->handleDisconnect();
    }

private:
    std::shared_ptr<ExchangeRegistry> registry;
    std::shared_ptr<ConnectionReaders> readers;
    std::shared_ptr<ReceiveGuard> guard;
};

// RESTinio requires these member names.
struct ServerTraits : restinio::default_traits_t {
    // NOLINTNEXTLINE(readability-identifier-naming)
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    // NOLINTNEXTLINE(readability-identifier-naming)
    using connection_state_listener_t = ConnectionListener;
    // NOLINTNEXTLINE(readability-identifier-naming)
    using stream_socket_t = GuardedSocket;
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = false;
};

// The acceptor counts connections by their sockets.
struct NoLifetimeMonitor { };

} // namespace

} // namespace Web

template <> struct restinio::connection_count_limit_types<Web::ServerTraits> {
    // NOLINTNEXTLINE(readability-identifier-naming)
    using limiter_t = connection_count_limits::noop_connection_count_limiter_t;
    // NOLINTNEXTLINE(readability-identifier-naming)
    using lifetime_monitor_t = Web::NoLifetimeMonitor;
};

namespace Web {

namespace {

using ConnectionFactory = restinio::impl::connection_factory_t<ServerTraits>;

// Does what the constructor of RESTinio's server does, apart from its acceptor.
std::shared_ptr<ConnectionFactory> makeConnectionFactory(
    asio::io_context& context, restinio::server_settings_t<ServerTraits>& settings)
{
    settings.ensure_valid_connection_state_listener();
    const auto timers = settings.timer_factory()->create(context);
    const auto connectionSettings = std::make_shared<restinio::impl::connection_settings_t<ServerTraits>>(
        settings, restinio::impl::create_parser_settings<ServerTraits::http_methods_mapper_t>(), timers);
    return std::make_shared<ConnectionFactory>(connectionSettings, settings.socket_options_setter());
}

// Protects a process whose settings name no limits.
std::shared_ptr<ReceiveGuard> makeDefaultGuard(const HttpServerSettings& settings)
{
    static const Foundation::SteadyClock clock;
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    ReceiveLimits limits;
    limits.maximumBodyBytes = settings.maximumBodyBytes;
    return std::make_shared<ReceiveGuard>(limits, ReceiveMemory::Settings { unlimited, unlimited }, clock);
}

// RESTinio reads only heads that the connection's reader has let through; these limits are a second line.
restinio::incoming_http_msg_limits_t headLimits()
{
    constexpr std::size_t largestHeadBytes = 1 << 20;
    return restinio::incoming_http_msg_limits_t {}
        .max_url_size(largestHeadBytes)
        .max_field_name_size(largestHeadBytes)
        .max_field_value_size(largestHeadBytes)
        .max_body_size(0);
}

} // namespace

// Called by RESTinio before the first read on a connection.
template <typename Connection, typename StartHandler, typename FailureHandler>
// NOLINTNEXTLINE(readability-identifier-naming)
void prepare_connection_and_start_read(
    GuardedSocket& socket, Connection& connection, StartHandler start, FailureHandler)
{
    socket.guard(connection.get_executor());
    acceptedReader = socket.connectionReader().get();
    start();
    acceptedReader = nullptr;
}

struct HttpServer::State {
    asio::io_context& context;
    std::string address;
    std::uint16_t port = 0;
    std::shared_ptr<ConnectionAcceptor> acceptor;
};

/**
 * @class HttpServer
 * An HTTP server based on RESTinio. Only this file instantiates RESTinio's templates.
 */
HttpServer::HttpServer(asio::io_context& context, const HttpServerSettings& settings, HttpHandler handler)
    : state(std::make_unique<State>(State { context, settings.address, settings.port, nullptr }))
{
    const auto registry = std::make_shared<ExchangeRegistry>();
    const auto readers = std::make_shared<ConnectionReaders>();
    const auto guard = settings.guard ? settings.guard : makeDefaultGuard(settings);
    auto onRequest = [registry, readers, handler = std::move(handler)](restinio::request_handle_t request) {
        const auto exchange
            = std::make_shared<RestinioExchange>(request, registry, readers->find(request->connection_id()));
        registry->add(idOf(*request), exchange);
        handler(exchange);
        return restinio::request_accepted();
    };
    restinio::server_settings_t<ServerTraits> restinioSettings;
    restinioSettings.request_handler(std::move(onRequest))
        .connection_state_listener(std::make_shared<ConnectionListener>(registry, readers, guard))
        .max_pipelined_requests(pipelinedRequests)
        .read_next_http_message_timelimit(requestTimeLimit)
        .handle_request_timeout(requestTimeLimit)
        .write_http_response_timelimit(writeTimeLimit)
        .incoming_http_msg_limits(headLimits())
        .socket_options_setter([](auto& options) { options.set_option(restinio::asio_ns::ip::tcp::no_delay(true)); });
    const auto factory = makeConnectionFactory(context, restinioSettings);
    this->state->acceptor
        = std::make_shared<ConnectionAcceptor>(context, ConnectionAcceptor::Settings { settings.maximumConnections },
            guard->clock, readers, [factory, guard](asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& peer) {
                factory->create_new_connection(GuardedSocket(std::move(socket)), peer, NoLifetimeMonitor {})->init();
            });
}

HttpServer::~HttpServer() { this->state->acceptor->close(); }

void HttpServer::start(std::function<void(std::string)> onFailure)
{
    asio::post(this->state->context,
        [acceptor = this->state->acceptor, address = this->state->address, port = this->state->port,
            onFailure = std::move(onFailure)] {
            try {
                acceptor->open({ asio::ip::make_address(address), port });
            } catch (const std::exception& exception) {
                onFailure(exception.what());
            }
        });
}

void HttpServer::stop()
{
    asio::post(this->state->context, [acceptor = this->state->acceptor] { acceptor->close(); });
}

bool HttpServer::canAccept() const { return this->state->acceptor->canAccept(); }

} // namespace Web
