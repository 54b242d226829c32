#pragma once

#include "tokenbucket.h"

#include <configuration/environmentdocument.h>
#include <foundation/clock.h>
#include <foundation/resultcode.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Admission {

/** A refusal by an account limit, with the time after which to retry. */
struct AccountRefusal {
    Foundation::ResultCode code = Foundation::ResultCode::Ok;
    Foundation::Duration retryAfter {};
};

class AccountLimiter {
public:
    /** @param clock the time source; must outlive the limiter. */
    explicit AccountLimiter(const Foundation::Clock& clock);

    /**
     * Checks a request against the limits of its account and counts the request if it is within them.
     * @param upstreamCount the number of upstreams over which the account's requests spread.
     * @param tokens the prompt and output tokens of the request.
     * @return the refusal, or nothing if the request was counted.
     */
    std::optional<AccountRefusal> tryAcquire(
        const Configuration::AccountDefinition& account, std::int64_t upstreamCount, std::int64_t tokens);

    /** Releases the concurrency slot of a request that has ended. */
    void release(std::string_view account);

private:
    struct AccountState {
        std::int64_t concurrent = 0;
        TokenBucket tokens;
    };

    AccountState& accountState(const Configuration::AccountDefinition& account, double share);

    const Foundation::Clock& clock;
    std::map<std::string, AccountState, std::less<>> accounts;
};

} // namespace Admission
