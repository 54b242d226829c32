#include "accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

constexpr double unevenSpreadFactor = 2;
constexpr double burstSeconds = 10;
constexpr Foundation::Duration concurrencyRetryAfter = std::chrono::milliseconds(500);
constexpr std::size_t maximumAccountsBeforeCleanup = 4096;

// Requests do not spread evenly over the upstreams, so each agent grants twice the even share of a limit, but never
// more than the whole limit. All agents together grant at most twice the limit.
double agentShare(std::int64_t upstreamCount)
{
    return std::min(1.0, unevenSpreadFactor / static_cast<double>(std::max<std::int64_t>(1, upstreamCount)));
}

} // namespace

/**
 * @class AccountLimiter
 * Enforces the limits of client accounts at one agent. Each agent enforces its share of a limit on its own, without
 * coordination with entries or other agents. Over all upstreams, an account gets at most twice its limit, and exactly
 * the configured limit if its load is spread evenly.
 */
AccountLimiter::AccountLimiter(const Foundation::Clock& clock)
    : clock(clock)
{
}

std::optional<AccountRefusal> AccountLimiter::tryAcquire(
    const Configuration::AccountDefinition& account, std::int64_t upstreamCount, std::int64_t tokens)
{
    const double share = agentShare(upstreamCount);
    AccountState& state = this->accountState(account, share);
    const auto concurrentLimit
        = static_cast<std::int64_t>(std::ceil(static_cast<double>(account.maximumConcurrent) * share));
    if (state.concurrent >= concurrentLimit)
        return AccountRefusal { Foundation::ResultCode::AccountConcurrency, concurrencyRetryAfter };
    const auto cost = static_cast<double>(tokens);
    if (!state.tokens.tryConsume(cost))
        return AccountRefusal { Foundation::ResultCode::AccountRate, state.tokens.timeUntil(cost) };
    ++state.concurrent;
    return std::nullopt;
}

void AccountLimiter::release(std::string_view account)
{
    const auto found = this->accounts.find(account);
    if (found != this->accounts.end())
        found->second.concurrent = std::max<std::int64_t>(0, found->second.concurrent - 1);
}

AccountLimiter::AccountState& AccountLimiter::accountState(
    const Configuration::AccountDefinition& account, double share)
{
    const double rate = static_cast<double>(account.tokensPerSecond) * share;
    const auto found = this->accounts.find(account.name);
    if (found != this->accounts.end()) {
        found->second.tokens.setRate(rate, rate * burstSeconds);
        return found->second;
    }
    if (this->accounts.size() >= maximumAccountsBeforeCleanup)
        std::erase_if(this->accounts, [](const auto& entry) { return entry.second.concurrent == 0; });
    AccountState added { 0, TokenBucket(this->clock, rate, rate * burstSeconds) };
    return this->accounts.emplace(account.name, added).first->second;
}

} // namespace Admission
