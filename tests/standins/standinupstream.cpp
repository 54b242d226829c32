#include "standinupstream.h"

#include "listenfailure.h"
#include "standinanswer.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>

namespace {

constexpr int streamEventCount = 5;

} // namespace

StandinUpstream::StandinUpstream(asio::io_context& context, std::string id, std::uint16_t port)
    : id(std::move(id))
    , port(port)
    , server(context, { "127.0.0.1", port, 1 << 20 },
          [this](const std::shared_ptr<Web::HttpExchange>& exchange) { this->handle(exchange); })
    , context(context)
    , pauseTimer(context)
{
}

void StandinUpstream::start() { this->server.start(throwListenFailure(this->context)); }

std::string StandinUpstream::entry(const std::string& service, bool isDraining) const
{
    return makeUpstreamEntry({ service, this->port, this->startedAtMs, 4, isDraining });
}

void StandinUpstream::handle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    const Web::HttpRequest& request = exchange->request();
    this->arrivals.push_back(std::chrono::steady_clock::now());
    if (this->behaviour == UpstreamBehaviour::Misaddressed || request.header("X-Expect-Instance") != this->id) {
        exchange->respond({ 421, "text/plain", { { "X-Instance-Id", "another" } }, "", false });
        return;
    }
    if (this->behaviour == UpstreamBehaviour::Reject) {
        this->reject(*exchange);
        return;
    }
    const std::string helper(request.header("X-Helpers").substr(0, request.header("X-Helpers").find(',')));
    if (this->behaviour == UpstreamBehaviour::BlameHelper && !helper.empty()) {
        ++this->helperRejections;
        exchange->respond({ 503, "text/plain", { { "X-Not-Executed", "1" }, { "At-Server", helper } }, "", false });
        return;
    }
    this->startedRequests.push_back(request);
    const bool isStream = request.path.starts_with("/stream/") || request.path.starts_with("/lasting/");
    const std::string_view last = request.header("Last-Event-Id");
    switch (this->behaviour) {
    case UpstreamBehaviour::CloseBeforeAnswer:
        exchange->abort();
        break;
    case UpstreamBehaviour::AnswerError:
        exchange->respond(makeSignedReply(request, 500, "failed"));
        break;
    case UpstreamBehaviour::AnswerUnsigned:
        exchange->respond({ 200, "text/plain", { { "X-Attempt-Id", std::string(request.header("X-Attempt-Id")) } },
            "unsigned", false });
        break;
    case UpstreamBehaviour::AnswerForeign:
        exchange->respond(
            { 200, "text/plain", { { "X-Attempt-Id", "other" }, { "X-Response-Signature", "s" } }, "foreign", false });
        break;
    case UpstreamBehaviour::AnswerLong:
        if (isStream)
            this->answerStream(*exchange, 1);
        else
            exchange->respond(makeSignedReply(request, 200, std::string(longAnswerBytes, 'x')));
        break;
    case UpstreamBehaviour::PauseMidStream:
        this->answerStreamWithPause(exchange);
        break;
    case UpstreamBehaviour::TrickleMidStream:
        exchange->beginStream(makeSignedReply(request, 200, ""));
        exchange->write(makeEvent(1) + makeEvent(2) + "id: 3\ndata: ");
        this->trickle(exchange);
        break;
    case UpstreamBehaviour::AnswerAfterSilence:
    case UpstreamBehaviour::RejectAfterSilence:
    case UpstreamBehaviour::AnswerErrorAfterSilence:
    case UpstreamBehaviour::CloseAfterSilence:
    case UpstreamBehaviour::SendHeadAfterSilence:
        this->answerAfterSilence(exchange, last.empty() ? 1 : std::stoi(std::string(last)) + 1);
        break;
    case UpstreamBehaviour::NeverAnswer:
        exchange->setDisconnectHandler([this] { ++this->abandonedCalls; });
        this->unansweredExchanges.push_back(exchange);
        break;
    default:
        if (isStream)
            this->answerStream(*exchange, last.empty() ? 1 : std::stoi(std::string(last)) + 1);
        else {
            Web::HttpReply reply = makeSignedReply(request, 200, "answer of " + this->id);
            std::ranges::move(this->ownHeaders(), std::back_inserter(reply.headers));
            exchange->respond(std::move(reply));
        }
    }
}

std::vector<Web::HttpHeader> StandinUpstream::ownHeaders() const
{
    std::vector<Web::HttpHeader> headers;
    if (this->saysLeaving)
        headers.push_back({ "Server-Leaving", "1" });
    if (!this->requestLimit.empty())
        headers.push_back({ "Server-Limit", this->requestLimit });
    return headers;
}

void StandinUpstream::reject(Web::HttpExchange& exchange)
{
    ++this->rejections;
    std::vector<Web::HttpHeader> headers = this->ownHeaders();
    headers.push_back({ "X-Not-Executed", "1" });
    headers.push_back({ "X-Attempt-Id", std::string(exchange.request().header("X-Attempt-Id")) });
    if (!this->retryAfter.empty())
        headers.push_back({ "Retry-After", this->retryAfter });
    exchange.respond({ 503, "text/plain", std::move(headers), "", false });
}

void StandinUpstream::trickle(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    constexpr std::chrono::milliseconds interval { 50 };
    const auto isGone = std::make_shared<bool>(false);
    exchange->setDisconnectHandler([isGone] { *isGone = true; });
    const auto timer = std::make_shared<asio::steady_timer>(this->context);
    const auto sendByte = std::make_shared<std::function<void()>>();
    *sendByte = [exchange, isGone, timer, interval, weak = std::weak_ptr(sendByte)] {
        if (*isGone)
            return;
        exchange->write(".");
        timer->expires_after(interval);
        timer->async_wait([next = weak.lock()](const asio::error_code& error) {
            if (!error && next)
                (*next)();
        });
    };
    (*sendByte)();
}

void StandinUpstream::answerStream(Web::HttpExchange& exchange, int firstEvent)
{
    Web::HttpReply head = makeSignedReply(exchange.request(), 200, "");
    head.contentType = "text/event-stream";
    std::ranges::move(this->ownHeaders(), std::back_inserter(head.headers));
    exchange.beginStream(head);
    for (int event = firstEvent; event <= streamEventCount; ++event) {
        if (this->behaviour == UpstreamBehaviour::CloseMidStream && event == 3) {
            exchange.write("id: 3\nda");
            exchange.abort();
            return;
        }
        exchange.write(makeEvent(event));
    }
    if (this->behaviour == UpstreamBehaviour::AnswerLong) {
        const std::string event = "data: " + std::string(10'000, 'x') + "\n\n";
        for (std::size_t sent = 0; sent < longAnswerBytes; sent += event.size())
            exchange.write(event);
    }
    exchange.finish();
}

void StandinUpstream::answerAfterSilence(const std::shared_ptr<Web::HttpExchange>& exchange, int firstEvent)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, this->silence);
    timer->async_wait([this, timer, exchange, firstEvent, chosen = this->behaviour](const asio::error_code& error) {
        if (error)
            return;
        if (chosen == UpstreamBehaviour::RejectAfterSilence)
            exchange->respond({ 503, "text/plain", { { "X-Not-Executed", "1" } }, "", false });
        else if (chosen == UpstreamBehaviour::AnswerErrorAfterSilence)
            exchange->respond(makeSignedReply(exchange->request(), 500, "failed"));
        else if (chosen == UpstreamBehaviour::CloseAfterSilence)
            exchange->abort();
        else if (chosen == UpstreamBehaviour::SendHeadAfterSilence) {
            Web::HttpReply head = makeSignedReply(exchange->request(), 200, "");
            head.contentType = "text/event-stream";
            exchange->setDisconnectHandler([this] { ++this->abandonedCalls; });
            exchange->beginStream(head);
            this->unansweredExchanges.push_back(exchange);
        } else
            this->answerStream(*exchange, firstEvent);
    });
}

void StandinUpstream::answerStreamWithPause(const std::shared_ptr<Web::HttpExchange>& exchange)
{
    exchange->beginStream(makeSignedReply(exchange->request(), 200, ""));
    exchange->write(makeEvent(1) + "data: without an id\n\n");
    this->pauseTimer.expires_after(std::chrono::milliseconds(1'500));
    this->pauseTimer.async_wait([exchange](const asio::error_code&) {
        exchange->write(makeEvent(2));
        exchange->finish();
    });
}
