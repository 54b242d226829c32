#pragma once

#include "crashnotice.h"

#include <foundation/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Quarantine {

/** An attempt that was given up because its upstream was silent, and whose connection is kept open to see why. */
struct WatchedAttempt {
    /** Identifies the open call. */
    std::uint64_t call = 0;
    std::string generation;
    /** The possible crash that was recorded when the attempt was given up. */
    CrashNotice notice;
    /** From then on the upstream has been silent for longer than a sound one. */
    Foundation::TimePoint countsFrom {};
    /** From then on the attempt is not watched any more, since its request has ended. */
    Foundation::TimePoint watchedUntil = Foundation::TimePoint::max();
};

/**
 * Distinguishes upstreams that crashed in silence from sound ones that fall silent and go on: the latter send something
 * on a connection that was open before.
 */
class SilenceWatch {
public:
    /** @return whether the attempt is watched; false if there are too many already. */
    bool add(WatchedAttempt attempt);

    /** Stops watching an attempt. @return none if it is not watched. */
    std::optional<WatchedAttempt> take(std::uint64_t call);

    /** Watches an attempt no longer than until the given time; ignores attempts that are not watched. */
    void limit(std::uint64_t call, Foundation::TimePoint watchedUntil);

    /** Stops watching all attempts at a generation, which has gone on. */
    std::vector<WatchedAttempt> takeGeneration(std::string_view generation);

    /** Stops watching the attempts whose upstreams have been silent for too long. */
    std::vector<WatchedAttempt> takeOverdue(Foundation::TimePoint now);

    /** Stops watching the attempts whose time has ended before it was known whether their upstreams go on. */
    std::vector<WatchedAttempt> takeUndecided(Foundation::TimePoint now);

    std::size_t size() const { return this->attempts.size(); }

private:
    /** By call. */
    std::map<std::uint64_t, WatchedAttempt> attempts;
};

} // namespace Quarantine
