#pragma once

#include "engineleases.h"
#include "runlog.h"

#include <web/httpserver.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/** The beginning of the ids of parts that crash upstreams. */
constexpr const char* crashingPartMark = "dead";

/**
 * Stand-in for an upstream in a process of its own, which requests can crash. A request whose path contains the
 * segments /crash/reset/ or /crash/silence/ kills or stops the process; with the segment /late/ it does so in the
 * middle of the run, also if the caller has left. A path that contains /part/reset/ or /part/silence/ crashes it only
 * if a part of the prompt other than the last has an id that begins with crashingPartMark; the segments /head/, /first/
 * and /third/ say whether it crashes before the head, in place of the first event or after three events. With the
 * segment /rejected-twice/ the first two sends of a request are rejected as not run, whichever upstreams receive them,
 * and with /rejected/ all are; with /slow/ a run takes long, with /prefill/ its first event comes after seconds, and
 * with /large/ its events are larger than what connections buffer. The segment /unfinished/ leaves out the end of a
 * rejection. A POST to /limit/N makes all further answers name N requests a second as the upstream's limit, and one to
 * /limit/ ends that. Each request that begins to run, each crash and each order to reserve memory is a line of the run
 * log.
 */
class CrashableUpstream {
public:
    /** @param runLog the path of a file to which several upstreams append. */
    CrashableUpstream(asio::io_context& context, std::string id, std::uint16_t port, const std::string& runLog);

    void start();

private:
    /** A request that is answered step by step. */
    struct Run;

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange);
    /** Returns whether a send of the request is one that its path wants to be rejected. */
    bool mustReject(const Web::HttpRequest& request) const;
    /** Adds what the upstream says of itself to the head of an answer. */
    Web::HttpReply withOwnHeaders(Web::HttpReply reply) const;
    void continueRun(const std::shared_ptr<Run>& run);
    void crash(const Web::HttpRequest& request) const;

    asio::io_context& context;
    std::string id;
    Web::HttpServer server;
    std::string runLogPath;
    RunLog runLog;
    EngineLeases leases;
    /** The limit that its answers name, in requests a second; none if empty. */
    std::string requestLimit;
    /** Kept open, since the ends of these answers are never sent. */
    std::vector<std::shared_ptr<Web::HttpExchange>> unfinishedExchanges;
};
