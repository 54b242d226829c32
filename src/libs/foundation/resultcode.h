#pragma once

#include <boost/outcome.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Foundation {

/** Numbered results of requests and of operator commands. docs/CODES.md contains the same table. */
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
    UpstreamLimited = 2023,
    ProcessFull = 2024,
    DeadlineExceeded = 3000,
    ConnectionLost = 3001,
    UpstreamFailed = 3002,
    AnswerIncomplete = 3003,
    ClaimedElsewhere = 3004,
    CallerGone = 3005,
    UpstreamCrashed = 3006,
    AnswerTooLarge = 3007,
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

/** Whether the upstream has or may have executed a request. */
enum class RunOutcome : std::uint8_t {
    NotRun,
    MayHaveRun,
    Ran,
};

/** A result code's entry in the table. */
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

/** Returns the table in ascending order of the codes. */
std::span<const ResultCodeEntry> resultCodes();

/** Returns the table entry of a code, or that of UpstreamFailed for a number that is not in the table. */
const ResultCodeEntry& resultCodeEntry(ResultCode code);

/** Converts a number received from another process. Returns UpstreamFailed if the number is not in the table. */
ResultCode resultCodeFromNumber(std::uint64_t number);

/** Returns the outcome as reported to callers: not-run, may-have-run or ran. */
std::string_view toString(RunOutcome outcome);

} // namespace Foundation
