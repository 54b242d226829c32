#include "resultcode.h"

#include <algorithm>
#include <array>

namespace Foundation {

namespace {

constexpr auto table = std::to_array<ResultCodeEntry>({
    { ResultCode::Ok, "Ok", 200, "The request was served." },
    { ResultCode::MalformedRequest, "MalformedRequest", 400, "The request could not be parsed or a field is wrong." },
    { ResultCode::BodyTooLarge, "BodyTooLarge", 413, "The body exceeds the limit of the entry." },
    { ResultCode::UnknownModel, "UnknownModel", 404, "The environment has no model of this name." },
    { ResultCode::UnknownService, "UnknownService", 404, "The environment has no service of this name." },
    { ResultCode::UnknownAccount, "UnknownAccount", 401, "The API key belongs to no client account." },
    { ResultCode::IdempotencyKeyReused, "IdempotencyKeyReused", 422,
        "The idempotency key was used before with a different request." },
    { ResultCode::UnknownPath, "UnknownPath", 404, "The entry serves nothing under this path." },
    { ResultCode::PromptTooLong, "PromptTooLong", 413, "The prompt does not fit into any upstream of the model." },
    { ResultCode::NoConfiguration, "NoConfiguration", 503, "The process has not read a configuration yet." },
    { ResultCode::NoUpstream, "NoUpstream", 503, "No upstream can accept the request now." },
    { ResultCode::TakenOut, "TakenOut", 503, "The upstream was taken out of service by an operator." },
    { ResultCode::Leaving, "Leaving", 503, "The upstream is draining." },
    { ResultCode::QueueFull, "QueueFull", 429, "The queue of the upstream is full." },
    { ResultCode::DeadlineUnreachable, "DeadlineUnreachable", 503,
        "The upstream estimates that it cannot finish within the remaining time." },
    { ResultCode::AccountConcurrency, "AccountConcurrency", 429,
        "The client account has reached its limit of concurrent requests." },
    { ResultCode::AccountRate, "AccountRate", 429, "The client account has used up its token rate." },
    { ResultCode::MemoryFull, "MemoryFull", 503, "The request does not fit into the memory of the upstream." },
    { ResultCode::ClaimLogUnavailable, "ClaimLogUnavailable", 503,
        "The log does not accept claims now, so a non-repeatable request cannot start." },
    { ResultCode::ClaimWindowUncovered, "ClaimWindowUncovered", 503,
        "The log retains records for less time than the idempotency key window." },
    { ResultCode::UpstreamDown, "UpstreamDown", 503, "The upstream does not answer its agent." },
    { ResultCode::ShuttingDown, "ShuttingDown", 503, "The process is shutting down." },
    { ResultCode::ClaimsCatchingUp, "ClaimsCatchingUp", 503,
        "The agent has not yet read the claims of the whole idempotency key window." },
    { ResultCode::RetryBudgetSpent, "RetryBudgetSpent", 503, "The retry budget is exhausted." },
    { ResultCode::Quarantined, "Quarantined", 422, "This request crashed two upstreams and is no longer run." },
    { ResultCode::SuspectWaiting, "SuspectWaiting", 503,
        "The request was running when an upstream crashed; it is retried later, with no other request running." },
    { ResultCode::RevokedBeforeStart, "RevokedBeforeStart", 503, "The attempt was revoked before it started." },
    { ResultCode::UpstreamCold, "UpstreamCold", 503,
        "The upstream turned cold and the request exceeded its start-up limits." },
    { ResultCode::StaleKnowledge, "StaleKnowledge", 503,
        "The store cache of the process is too old to check API keys or routes." },
    { ResultCode::CrashSuspected, "CrashSuspected", 503,
        "Upstreams crashed whenever they ran this request, so it is not run for now." },
    { ResultCode::UpstreamRejected, "UpstreamRejected", 503,
        "All upstreams that were tried rejected the request without running it." },
    { ResultCode::UpstreamLimited, "UpstreamLimited", 503,
        "The upstreams that could run the request have got as many requests as they take for now." },
    { ResultCode::ProcessFull, "ProcessFull", 503,
        "The process has as many requests as it has connections to upstreams." },
    { ResultCode::DeadlineExceeded, "DeadlineExceeded", 504, "The deadline of the request passed." },
    { ResultCode::ConnectionLost, "ConnectionLost", 502, "The connection to the agent was lost." },
    { ResultCode::UpstreamFailed, "UpstreamFailed", 502,
        "The upstream answered with an error or ended its answer early." },
    { ResultCode::AnswerIncomplete, "AnswerIncomplete", 502, "The answer was not received completely." },
    { ResultCode::ClaimedElsewhere, "ClaimedElsewhere", 409,
        "Another attempt holds the claim for this idempotency key and has no answer yet." },
    { ResultCode::CallerGone, "CallerGone", 499, "The caller closed its connection." },
    { ResultCode::UpstreamCrashed, "UpstreamCrashed", 502, "The upstream crashed while it ran the request." },
    { ResultCode::AnswerTooLarge, "AnswerTooLarge", 502,
        "The answer is larger than what the process has memory for, or does not end." },
    { ResultCode::WrongToken, "WrongToken", 403, "The peer presented a wrong authentication token." },
    { ResultCode::ProtocolMismatch, "ProtocolMismatch", 400, "The peer uses another protocol version." },
    { ResultCode::MalformedMessage, "MalformedMessage", 400, "A message could not be decoded." },
    { ResultCode::SettingsInvalid, "SettingsInvalid", 400, "The settings file is invalid." },
    { ResultCode::DocumentInvalid, "DocumentInvalid", 400, "The environment document is invalid." },
    { ResultCode::RaceLost, "RaceLost", 409, "Another change was accepted on the same base version first." },
    { ResultCode::UnknownTarget, "UnknownTarget", 404, "The target of the command does not exist." },
    { ResultCode::LogUnavailable, "LogUnavailable", 503, "The log service does not answer." },
    { ResultCode::Unconfirmed, "Unconfirmed", 503, "It is unknown whether the change was accepted." },
    { ResultCode::NotInForce, "NotInForce", 503, "The change was accepted but has not taken effect everywhere." },
});

} // namespace

std::span<const ResultCodeEntry> resultCodes() { return table; }

const ResultCodeEntry& resultCodeEntry(ResultCode code)
{
    auto entry = std::ranges::find(table, code, &ResultCodeEntry::code);
    if (entry == table.end())
        entry = std::ranges::find(table, ResultCode::UpstreamFailed, &ResultCodeEntry::code);
    return *entry;
}

ResultCode resultCodeFromNumber(std::uint64_t number)
{
    const bool known = std::ranges::any_of(
        table, [number](const ResultCodeEntry& entry) { return static_cast<std::uint64_t>(entry.code) == number; });
    return known ? static_cast<ResultCode>(number) : ResultCode::UpstreamFailed;
}

std::string_view toString(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::MayHaveRun:
        return "may-have-run";
    case RunOutcome::Ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace Foundation
