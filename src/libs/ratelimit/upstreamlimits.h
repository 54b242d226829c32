#pragma once

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RateLimit {

/** What an upstream has said of its limit, as gateways tell it to each other. */
struct LimitNotice {
    std::string upstreamGeneration;
    /** The requests a second that it takes from all gateways together; none if it names no limit any more. */
    std::optional<double> requestsPerSecond;
    /** How long ago it said so. */
    Foundation::Duration age {};
};

/**
 * The limits that upstreams name in their answers. An upstream has a limit until an answer to a request that was sent
 * after it had last named one names none. An answer that is older than what is known changes nothing.
 */
class UpstreamLimits {
public:
    /**
     * Records what an answer says.
     * @param requestsPerSecond the limit that it names; none if it names none.
     * @param sentAt when the request was sent.
     * @return whether the limit of the upstream is another one now.
     */
    bool recordAnswer(std::string_view upstreamGeneration, std::optional<double> requestsPerSecond,
        Foundation::TimePoint sentAt, Foundation::TimePoint now);

    /** Records what another gateway tells. @return whether the limit of the upstream is another one now. */
    bool recordNotice(const LimitNotice& notice, Foundation::TimePoint now);

    /** @return the limit of an upstream in requests a second; none if it has none. */
    std::optional<double> find(std::string_view upstreamGeneration) const;

    /** @return what is known of an upstream, to be told to other gateways. */
    LimitNotice notice(std::string_view upstreamGeneration, Foundation::TimePoint now) const;

    /** @return what is known of all upstreams that have a limit. */
    std::vector<LimitNotice> notices(Foundation::TimePoint now) const;

    /** @return the number of upstreams that have a limit. */
    std::size_t size() const { return this->limitCount; }

    /** Removes a generation that has ended. */
    void remove(std::string_view upstreamGeneration);

private:
    struct Record {
        std::optional<double> requestsPerSecond;
        /** When the upstream last said so, as far as is known here. */
        Foundation::TimePoint saidAt {};
    };

    bool set(Record& record, std::optional<double> requestsPerSecond);

    std::map<std::string, Record, std::less<>> records;
    std::size_t limitCount = 0;
};

} // namespace RateLimit
