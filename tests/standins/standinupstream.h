#pragma once

#include <web/httpserver.h>

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

/** How a stand-in upstream handles requests. */
enum class UpstreamBehaviour : std::uint8_t {
    Answer,
    /** Rejects the request as not run. */
    Reject,
    /** Runs the request and closes the connection before the answer. */
    CloseBeforeAnswer,
    /** Sends two events of a stream and a part of the third, then closes the connection. */
    CloseMidStream,
    /** Runs the request and answers with status 500. */
    AnswerError,
    /** Answers without a signature. */
    AnswerUnsigned,
    /** Answers with the attempt id of another request. */
    AnswerForeign,
    /** Accepts the request and never answers. */
    NeverAnswer,
    /** Answers as an upstream that is not the expected one, as if the address belonged to another. */
    Misaddressed,
    /** Sends a part of a stream whose last event has no id and cannot be resumed from, pauses, and sends the rest. */
    PauseMidStream,
    /** Rejects requests with prefill helpers and names the first helper as the cause. */
    BlameHelper,
    /** Answers with several MB, as a call or as a stream of many events. */
    AnswerLong,
    /** Falls silent before it answers a stream, and goes on after its silence. */
    AnswerAfterSilence,
    /** Falls silent, and rejects the request as not run after its silence. */
    RejectAfterSilence,
    /** Falls silent, and answers with status 500 after its silence. */
    AnswerErrorAfterSilence,
    /** Falls silent, and closes the connection after its silence. */
    CloseAfterSilence,
    /** Falls silent, sends the head of a stream after its silence, and nothing more. */
    SendHeadAfterSilence,
    /** Sends two events of a stream, and then single bytes that complete no further one. */
    TrickleMidStream,
};

/** How long a sound upstream falls silent. */
constexpr std::chrono::milliseconds standinSilence { 1'300 };

/** The size of the long answer of a call, and about that of a stream. */
constexpr std::size_t longAnswerBytes = 8'000'000;

/** Stand-in for an upstream: answers requests, streams five events, and simulates the faults of UpstreamBehaviour. */
class StandinUpstream {
public:
    StandinUpstream(asio::io_context& context, std::string id, std::uint16_t port);

    void start();

    const std::string& instanceId() const { return this->id; }

    /** Returns the entry that the upstream writes to the store. */
    std::string entry(const std::string& service, bool isDraining = false) const;

    UpstreamBehaviour behaviour = UpstreamBehaviour::Answer;
    /** Whether its answers and rejections say that it leaves. */
    bool saysLeaving = false;
    /** The Retry-After header of its rejections; none if empty. */
    std::string retryAfter;
    /** The Server-Limit header of its answers and rejections; none if empty. */
    std::string requestLimit;
    /** When each request arrived, whether it was run or not. */
    std::vector<std::chrono::steady_clock::time_point> arrivals;
    /** The number of requests that it rejected as not run. */
    int rejections = 0;
    /** How long it falls silent. */
    std::chrono::milliseconds silence = standinSilence;
    /** The start of its generation, as its entry gives it. */
    std::int64_t startedAtMs = 1;
    /** The requests that it started to run. */
    std::vector<Web::HttpRequest> startedRequests;
    /** The number of calls that were closed by the caller before the answer. */
    int abandonedCalls = 0;
    /** The number of requests that it rejected because of a prefill helper. */
    int helperRejections = 0;

private:
    void handle(const std::shared_ptr<Web::HttpExchange>& exchange);
    void answerStream(Web::HttpExchange& exchange, int firstEvent);
    void answerStreamWithPause(const std::shared_ptr<Web::HttpExchange>& exchange);
    /** Sends a byte now and then until the caller leaves. */
    void trickle(const std::shared_ptr<Web::HttpExchange>& exchange);
    void reject(Web::HttpExchange& exchange);
    /** Returns what the upstream says of itself in its answers. */
    std::vector<Web::HttpHeader> ownHeaders() const;
    void answerAfterSilence(const std::shared_ptr<Web::HttpExchange>& exchange, int firstEvent);

    std::string id;
    std::uint16_t port;
    Web::HttpServer server;
    asio::io_context& context;
    asio::steady_timer pauseTimer;
    /** Kept open, since these requests are never answered. */
    std::vector<std::shared_ptr<Web::HttpExchange>> unansweredExchanges;
};
