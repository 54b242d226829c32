#pragma once

#include <foundation/clock.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace StoreCache {

/**
 * Estimates when messages of other processes were sent, whose clocks have another origin. A message that was read late,
 * because this process or the sender was frozen or the connection was interrupted, took longer than the fastest one of
 * its sender; what it says is older by that much.
 */
class TransitClock {
public:
    /**
     * Records a message.
     * @param sender differs between processes and between restarts of one.
     * @param sent when the message was sent, on the sender's clock.
     * @param now when it was read, on the clock of this process.
     * @return when it was sent on the clock of this process, later by the duration of the fastest transit; none for the
     *         first message of a sender, which may have taken any time.
     */
    std::optional<Foundation::TimePoint> record(
        std::string_view sender, Foundation::TimePoint sent, Foundation::TimePoint now);

private:
    struct Sender {
        /** The clock of this process less that of the sender, at the fastest transit. */
        Foundation::Duration difference {};
        Foundation::TimePoint lastMessage {};
    };

    std::map<std::string, Sender, std::less<>> senders;
};

} // namespace StoreCache
