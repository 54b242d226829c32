#pragma once

#include "httptransfers.h"

#include <foundation/resultcode.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Platform {

struct LogRecord {
    std::uint64_t offset = 0;
    /** The time of the append, on the clock of the log. */
    std::chrono::milliseconds time {};
    std::string data;
};

/** The records of one read. */
struct LogPage {
    /** The oldest offset that the log retains. */
    std::uint64_t first = 0;
    /** The offset of the next record to be appended. */
    std::uint64_t end = 0;
    std::chrono::milliseconds retention {};
    std::vector<LogRecord> records;
};

/** The outcome of an append. */
enum class AppendOutcome : std::uint8_t {
    Appended,
    /** The log refused the record or was not reached; it does not contain the record. */
    NotAppended,
    /** The answer was lost or reported an error of the log; the log may contain the record. */
    Unknown,
};

struct AppendResult {
    AppendOutcome outcome = AppendOutcome::Unknown;
    /** The offset of the record, if it was appended. */
    std::uint64_t offset = 0;
};

/** Appends to and reads from the platform's append-only log service. */
class LogClient {
public:
    /**
     * @param transfers must outlive the client.
     * @param baseUrl the URL of the log service without a trailing slash.
     */
    LogClient(HttpTransfers& transfers, std::string baseUrl);

    /** Appends a record to a stream. */
    void append(std::string_view stream, std::string data, std::function<void(AppendResult)> onDone);

    /**
     * Reads the records of a stream from an offset on.
     * @param wait the time for which the log holds the read until a record is appended, if there is none yet.
     * @param onDone called with a page, or LogUnavailable.
     */
    void read(std::string_view stream, std::uint64_t from, Foundation::Duration wait,
        std::function<void(Foundation::Result<LogPage>)> onDone);

private:
    std::string recordsUrl(std::string_view stream) const;

    HttpTransfers& transfers;
    std::string baseUrl;
};

/** Decodes the answer to a read from JSON; returns LogUnavailable if it is malformed. */
Foundation::Result<LogPage> decodeLogPage(std::string_view text);

} // namespace Platform
