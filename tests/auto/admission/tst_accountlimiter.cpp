#include <admission/accountlimiter.h>

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <memory>
#include <vector>

using namespace Admission;
using Foundation::ResultCode;

namespace {

Configuration::AccountDefinition accountWith(std::int64_t concurrent, std::int64_t tokensPerSecond)
{
    return { "a", "", 1, concurrent, tokensPerSecond };
}

} // namespace

TEST_GROUP(AccountLimiter) { Foundation::ManualClock clock; };

TEST(AccountLimiter, limitsConcurrentRequests)
{
    AccountLimiter limiter(this->clock);
    const auto account = accountWith(2, 1'000'000);
    CHECK_FALSE(limiter.tryAcquire(account, 1, 1).has_value());
    CHECK_FALSE(limiter.tryAcquire(account, 1, 1).has_value());
    CHECK_TRUE(limiter.tryAcquire(account, 1, 1)->code == ResultCode::AccountConcurrency);
    limiter.release("a");
    CHECK_FALSE(limiter.tryAcquire(account, 1, 1).has_value());
}

TEST(AccountLimiter, limitsTheTokenRateAndReportsWhenToRetry)
{
    AccountLimiter limiter(this->clock);
    const auto account = accountWith(100, 1'000);
    CHECK_FALSE(limiter.tryAcquire(account, 1, 10'000).has_value());
    const auto refusal = limiter.tryAcquire(account, 1, 2'000);
    CHECK_TRUE(refusal->code == ResultCode::AccountRate);
    this->clock.advance(refusal->retryAfter + std::chrono::milliseconds(1));
    CHECK_FALSE(limiter.tryAcquire(account, 1, 2'000).has_value());
}

TEST(AccountLimiter, allAgentsTogetherAllowAtMostTwiceTheLimit)
{
    CHECK_TRUE(rc::check("the shares of all agents add up to at most twice the limit, rounded up at each", [] {
        Foundation::ManualClock clock;
        const auto agents = *rc::gen::inRange<std::int64_t>(1, 40);
        const auto limit = *rc::gen::inRange<std::int64_t>(1, 500);
        std::int64_t accepted = 0;
        for (std::int64_t agent = 0; agent < agents; ++agent) {
            AccountLimiter limiter(clock);
            while (!limiter.tryAcquire(accountWith(limit, 100'000'000), agents, 1))
                ++accepted;
        }
        RC_ASSERT(accepted >= limit);
        RC_ASSERT(accepted <= 2 * limit + agents);
    }));
}
