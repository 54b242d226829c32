#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Routing {

/** Limits retries to a fraction of the requests of each client account, so that retries cannot amplify an overload. */
class RetryBudget {
public:
    /**
     * Credits the account for the first attempt of a request.
     * @param retriesPerRequest the credit, a fraction of one retry.
     */
    void deposit(std::string_view account, double retriesPerRequest);

    /** Spends one retry. @return false if the balance is below one retry; nothing is spent then. */
    bool tryWithdraw(std::string_view account);

private:
    std::mutex mutex;
    std::map<std::string, double, std::less<>> balances;
};

} // namespace Routing
