#pragma once

#include <boost/outcome.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Foundation {

/** Numbered results of a request or of an operator's command. docs/CODES.md holds the same table. */
enum class ResultCode : std::uint16_t {
    Ok = 0,
    MalformedRequest = 1000,
    BodyTooLarge = 1001,
    UnknownModel = 1002,
    UnknownService = 1003,
    UnknownAccount = 1004,
    IdempotencyKeyReused = 1005,
    UnknownPath = 1006,
    PromptTooLong = 1007,
    NoConfiguration = 2000,
    NoUpstream = 2001,
    TakenOut = 2002,
    Leaving = 2003,
    QueueFull = 2004,
    DeadlineUnreachable = 2005,
    AccountConcurrency = 2006,
    AccountRate = 2007,
    MemoryFull = 2008,
    ClaimLogUnavailable = 2010,
    ClaimWindowUncovered = 2011,
    UpstreamDown = 2012,
    ShuttingDown = 2013,
    ClaimsCatchingUp = 2014,
    RetryBudgetSpent = 2015,
    Quarantined = 2016,
    SuspectWaiting = 2017,
    RevokedBeforeStart = 2018,
    UpstreamCold = 2019,
    StaleKnowledge = 2020,
    CrashSuspected = 2021,
    UpstreamRejected = 2022,
    DeadlineExceeded = 3000,
    ConnectionLost = 3001,
    UpstreamFailed = 3002,
    AnswerIncomplete = 3003,
    ClaimedElsewhere = 3004,
    CallerGone = 3005,
    UpstreamCrashed = 3006,
    WrongToken = 4000,
    ProtocolMismatch = 4001,
    MalformedMessage = 4002,
    SettingsInvalid = 5000,
    DocumentInvalid = 5001,
    RaceLost = 5002,
    UnknownTarget = 5003,
    LogUnavailable = 5004,
    Unconfirmed = 5005,
    NotInForce = 5006,
};

/** Whether the upstream may have acted on a request. */
enum class RunOutcome : std::uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

struct ResultCodeEntry {
    ResultCode code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
};

struct Error {
    ResultCode code = ResultCode::Ok;
    std::string message;
};

template <typename T> using Result = boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

/** @return every result code with its name, HTTP status and meaning, in ascending order. */
std::span<const ResultCodeEntry> resultCodes();

/**
 * Finds the table entry of a code.
 * @param code the code to look up.
 * @return its entry; the entry of UpstreamFailed for a number that is not in the table.
 */
const ResultCodeEntry& resultCodeEntry(ResultCode code);

/**
 * Maps a number received from another process to a code.
 * @param number the number on the wire.
 * @return the code; UpstreamFailed if the number is not in the table.
 */
ResultCode resultCodeFromNumber(std::uint64_t number);

/** @return the word for an outcome that callers see: not-run, may-have-run or ran. */
std::string_view toString(RunOutcome outcome);

} // namespace Foundation
