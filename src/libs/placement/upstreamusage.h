#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Placement {

/** Streams in flight that have the same event-gap target. */
struct StreamGroup {
    std::int64_t count = 0;
    /** The sum of the request weights, in thousandths. */
    std::int64_t weight = 0;

    bool operator==(const StreamGroup&) const = default;
};

/** What one process uses at one upstream. */
struct UpstreamUsage {
    std::string upstream;
    /** Prefill work that has not finished, in microseconds. */
    std::int64_t prefillUs = 0;
    /** Requests that occupy a slot or wait for one. */
    std::int64_t requests = 0;
    /** KV-cache memory that is reserved, in tokens. */
    std::int64_t reservedTokens = 0;
    /** Streams by event-gap target, in ms. */
    std::map<std::int64_t, StreamGroup> streamsByGapMs;
    /**
     * The part of the prefill work that belongs to prompts which run on this upstream, in microseconds. Engines prefill
     * parts of the prompts of other engines first.
     */
    std::int64_t ownPrefillUs = 0;

    bool operator==(const UpstreamUsage&) const = default;

    /** Returns whether the process uses nothing there. */
    bool isEmpty() const;

    /** Adds the usage of the same upstream by another process or request. */
    void add(const UpstreamUsage& other);
    void subtract(const UpstreamUsage& other);
};

} // namespace Placement
