#pragma once

#include "faultswitches.h"
#include "standinrole.h"

#include <foundation/clock.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Standin {

struct ModelEngineSettings {
    /** The prefill rate of a warm engine, shared by all requests. */
    std::int64_t prefillTokensPerSecond = 0;
    std::int64_t decodeMicrosecondsPerToken = 0;
    /** The memory capacity; a request that does not fit is refused with status 503. */
    std::int64_t memoryTokens = 0;
    /** The maximum length of one prefill chunk. */
    std::int64_t chunkTokens = 0;
    /**
     * The number of concurrent requests that a cold engine sustains. Each completed request adds one, up to the warm
     * limit.
     */
    std::int64_t coldLimit = 0;
    std::int64_t warmLimit = 0;
    /** The bytes of a request body that count as one prompt token. */
    double bytesPerToken = 0;
    /** The capacity of the prefix cache. */
    std::size_t cachedPrefixes = 0;
};

/**
 * Simulates a model engine with continuous batching, chunked prefill by priority, memory counted in tokens, a prefix
 * cache, streams that can be resumed and cancelled, and a cold start. A cold engine prefills more slowly and sustains
 * fewer concurrent requests; an engine that is overloaded for too long restarts. A stream whose connection is lost
 * keeps its memory until it is cancelled.
 *
 * Faults: cold (resets the engine to the cold state at once), cutStreams (closes N connections at their next write; the
 * streams continue), endInsideEvents (the same, but ends N answers in order in the middle of an event), endlessAnswers
 * (N answers go on without end), ignoreCancels, slowFactor (duration of prefill in percent; values below 100 have no
 * effect), leaving (the status reports that the engine is draining). A prompt that contains CRASH-THE-ENGINE crashes
 * the engine at the end of its prefill.
 */
class ModelEngine final : public StandinRole {
public:
    ModelEngine(asio::io_context& context, const ModelEngineSettings& settings);

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange) override;

private:
    struct Stream {
        std::string id;
        std::string request;
        std::shared_ptr<Web::HttpExchange> exchange;
        std::uint64_t promptHash = 0;
        std::uint64_t bodyBytes = 0;
        int priority = 0;
        std::uint64_t arrivalNumber = 0;
        bool isStreamed = false;
        bool crashesEngine = false;
        std::int64_t promptTokens = 0;
        std::int64_t prefillTokensLeft = 0;
        /** The number of tokens to generate. */
        std::int64_t outputTokens = 0;
        std::int64_t generatedTokens = 0;
        Foundation::TimePoint nextTokenTime;
        std::string text;
        /** All events of the stream so far, from which a resumed stream is continued. */
        std::string events;
        bool isFinished = false;

        std::int64_t reservedTokens() const { return this->promptTokens + this->outputTokens; }
    };

    using StreamPtr = std::shared_ptr<Stream>;

    void start(const std::shared_ptr<Web::HttpExchange>& exchange);
    void resume(const std::shared_ptr<Web::HttpExchange>& exchange, const std::string& id);
    void cancel(Web::HttpExchange& exchange, const std::string& id);
    void respondStreams(Web::HttpExchange& exchange) const;
    void respondLoad(Web::HttpExchange& exchange) const;
    void respondCounters(Web::HttpExchange& exchange) const;
    void attach(const StreamPtr& stream, const std::shared_ptr<Web::HttpExchange>& exchange);
    void detach(const StreamPtr& stream);
    void ensureTicking();
    void tick();
    void checkOverload(Foundation::TimePoint now);
    void prefill(double seconds);
    StreamPtr nextPrefillStream() const;
    void decode(const StreamPtr& stream);
    void send(const StreamPtr& stream, const std::string& data);
    /** Writes as fast as the connection allows, until it is closed. */
    void sendEndlessly(const std::shared_ptr<Web::HttpExchange>& exchange);
    void finish(const StreamPtr& stream);
    void release(const std::string& id);
    /** Drops all streams and the warm state and starts a new generation, as a restarted engine process does. */
    void restart(bool isCrash);
    /** Returns the number of concurrent requests that the engine sustains now, between the cold and the warm limit. */
    std::int64_t sustainableRequests() const;
    std::int64_t usedTokens() const;
    /** Returns the prompt tokens that the prefix cache holds for a request, and adds its prefix to the cache. */
    std::int64_t cachedTokens(const Web::HttpRequest& request);

    ModelEngineSettings settings;
    FaultSwitches faults;
    std::string generation;
    std::map<std::string, StreamPtr> streams;
    /** The hashes of the cached prefixes, the most recently used first. */
    std::list<std::uint64_t> cachedPrefixes;
    asio::steady_timer timer;
    bool isTicking = false;
    Foundation::TimePoint lastTick;
    /** The last tick at which the number of streams was sustainable. */
    Foundation::TimePoint lastSustainableTick;
    /** The prompt tokens that may be prefilled now; the fraction of a token is carried over to the next tick. */
    double prefillCredit = 0;
    StreamPtr prefillingStream;
    std::int64_t chunkTokensLeft = 0;
    std::uint64_t lastArrivalNumber = 0;
    std::int64_t completedSinceStart = 0;
    std::int64_t overloadRestarts = 0;
    std::int64_t crashes = 0;
    std::int64_t memoryOverruns = 0;
    std::int64_t maximumUsedTokens = 0;
    std::int64_t completedRequests = 0;
    /** The identifiers of all requests that the engine started, with repetitions. */
    std::vector<std::string> startedRequests;
};

} // namespace Standin
