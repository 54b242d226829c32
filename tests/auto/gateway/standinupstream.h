#pragma once

#include <web/httpserver.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <vector>

/** How a stand-in upstream treats the requests that it gets. */
enum class Conduct : std::uint8_t {
    Answer,
    /** Rejects as not run. */
    Reject,
    /** Runs the request and breaks the connection before the answer. */
    BreakBefore,
    /** Sends two events of a stream, a part of the third, and breaks the connection. */
    BreakMidway,
    /** Runs the request and answers with an error of its own. */
    Fail,
    /** Answers with a body that nobody vouches for. */
    AnswerUnsigned,
    /** Answers with the id of another request. */
    AnswerForeign,
    /** Takes the request and says nothing. */
    Silence,
    /** Has the address of another upstream. */
    Misaddressed,
    /** Sends a part of a stream from whose last event nobody can go on, pauses for long, and sends the rest. */
    PauseMidway,
    /** Rejects requests that name helpers, and blames the first of them. */
    BlameHelper,
};

/** A small upstream: runs requests, answers streams of five events, and misbehaves as it is told. */
class StandinUpstream {
public:
    StandinUpstream(asio::io_context& context, std::string id, std::uint16_t port);

    void start();

    /** @return its entry in the store. */
    std::string entry(const std::string& service, bool isDraining = false) const;

    Conduct conduct = Conduct::Answer;
    /** The requests that it began to run. */
    std::vector<Web::HttpRequest> runs;
    /** The requests that its callers closed before their answer. */
    int gone = 0;
    /** The requests that it rejected for the fault of a helper. */
    int blamed = 0;

private:
    void handle(const std::shared_ptr<Web::HttpExchange>& exchange);
    void answerStream(Web::HttpExchange& exchange, int firstEvent);
    void answerWithPause(const std::shared_ptr<Web::HttpExchange>& exchange);

    std::string id;
    std::uint16_t port;
    Web::HttpServer server;
    asio::steady_timer pause;
    /** Requests that are never answered. */
    std::vector<std::shared_ptr<Web::HttpExchange>> silent;
};
