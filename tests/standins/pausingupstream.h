#pragma once

#include "runlog.h"
#include "timedanswer.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <optional>
#include <string>

/**
 * Stand-in for a sound upstream in a process of its own that falls silent now and then: all its answers pause, new
 * connections and requests are read only afterwards, and then everything goes on. The path of a request says how it is
 * answered, see TimedAnswer. Each run is a line of the run log when it begins, and another one when its answer is
 * complete.
 *
 * The path /pause/MOMENT/MS makes the upstream fall silent when its next answer comes to the moment.
 */
class PausingUpstream {
public:
    /** @param runLog the path of a file to which several upstreams append. */
    PausingUpstream(asio::io_context& context, std::string id, std::uint16_t port, const std::string& runLog);

    void start();

    /** Returns the path of the request that makes an upstream fall silent. */
    static std::string pausePath(AnswerMoment moment, std::chrono::milliseconds length);

private:
    /** A connection on which requests are answered one after the other. */
    class Connection;

    struct PlannedPause {
        AnswerMoment moment = AnswerMoment::BeforeHead;
        std::chrono::milliseconds length { 0 };
    };

    void accept();
    /** Accepts the next connection once the upstream has gone on. */
    void acceptAfterPause();
    /** Plans the pause that a path asks for. Returns false if it asks for none. */
    bool planPause(const std::string& path);
    void onMoment(AnswerMoment moment);
    void beginPause();

    std::string id;
    RunLog runLog;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    /** Begins a planned pause if no answer comes to its moment. */
    asio::steady_timer pauseTimer;
    std::optional<PlannedPause> plannedPause;
    Foundation::TimePoint pauseEnd {};
};
