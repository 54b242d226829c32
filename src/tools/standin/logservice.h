#pragma once

#include "faultswitches.h"
#include "standinrole.h"

#include <foundation/clock.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <string>

namespace Standin {

struct LogServiceSettings {
    /** The age at which records are removed. */
    std::chrono::milliseconds retention {};
    /** The maximum rate of appends over all streams; further ones are refused with status 429. */
    std::int64_t appendsPerSecond = 0;
};

/**
 * Simulates the platform's append-only log.
 *
 * Faults: outage (every call fails), slowMs (delay of appends), loseAppendAnswers (the next N appends take effect, but
 * their connections are closed without an answer).
 */
class LogService final : public StandinRole {
public:
    LogService(asio::io_context& context, const LogServiceSettings& settings);

    void handle(const std::shared_ptr<Web::HttpExchange>& exchange) override;

private:
    struct Record {
        std::uint64_t offset;
        std::chrono::milliseconds time;
        std::string data;
    };

    struct Stream {
        std::deque<Record> records;
        std::uint64_t end = 0;
    };

    /** A read that waits for the next record of a stream. */
    struct WaitingReader {
        std::shared_ptr<Web::HttpExchange> exchange;
        std::string stream;
        std::uint64_t from = 0;
        std::shared_ptr<asio::steady_timer> timer;
    };

    void append(const std::shared_ptr<Web::HttpExchange>& exchange, const std::string& stream);
    void read(const std::shared_ptr<Web::HttpExchange>& exchange, const std::string& stream);
    void respondRecords(Web::HttpExchange& exchange, const std::string& stream, std::uint64_t from);
    void answerWaitingReaders(const std::string& stream);
    void removeExpiredRecords(Stream& stream);
    /** Counts an append. Returns false if it exceeds the rate limit. */
    bool acceptAppend();
    std::chrono::milliseconds now() const;

    asio::io_context& context;
    LogServiceSettings settings;
    FaultSwitches faults;
    std::map<std::string, Stream> streams;
    std::list<WaitingReader> waitingReaders;
    std::chrono::milliseconds rateWindowStart {};
    std::int64_t appendsInWindow = 0;
    std::int64_t totalAppends = 0;
};

} // namespace Standin
