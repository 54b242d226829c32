#include "retrybudget.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr double initialBalance = 10;
constexpr double maximumBalance = 100;

} // namespace

void RetryBudget::deposit(std::string_view account, double retriesPerRequest)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->balances.find(account);
    if (found == this->balances.end())
        found = this->balances.emplace(account, initialBalance).first;
    found->second = std::min(maximumBalance, found->second + retriesPerRequest);
}

bool RetryBudget::tryWithdraw(std::string_view account)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->balances.find(account);
    if (found == this->balances.end() || found->second < 1)
        return false;
    found->second -= 1;
    return true;
}

} // namespace Routing
