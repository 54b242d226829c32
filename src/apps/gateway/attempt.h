#pragma once

#include "dispatcher.h"
#include "memoryleasemanager.h"

#include <foundation/clock.h>
#include <platform/httptransfers.h>
#include <relay/answermemory.h>
#include <relay/eventsplitter.h>

#include "platform/messageheaders.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace Gateway {

// The TCP handshake takes a few ms; an upstream that does not complete it is down or unreachable.
constexpr Foundation::Duration connectTimeout = std::chrono::milliseconds(300);

/** One dispatch of a request to one upstream. */
struct Attempt {
    Assignment assignment;
    Platform::CallId call = 0;
    /** Memory reserved at prefill helpers; 0 if there is none. */
    MemoryReservationId memoryReservation = 0;
    Foundation::TimePoint sentAt {};
    Foundation::TimePoint lastDataAt {};
    /** When it was sent, or its answer last progressed: by its head, or by a complete event if it is a stream. */
    Foundation::TimePoint lastProgressAt {};
    /** Silence does not cause a failover sooner, since the last one has failed. */
    Foundation::TimePoint failoverNotBefore {};
    /** Whether no event of the answer has arrived yet. */
    bool isPrefilling = true;
    std::optional<Platform::HttpAnswerHead> head;
    /** The decoded headers of the answer. */
    PlatformAdapter::AnswerHeaders headers;
    /** Whether the answer is an event stream that is forwarded as it arrives. */
    bool isStream = false;
    /** The body received so far, if the answer is not a stream. */
    std::string body;
    /** What the answer holds: its body, or the bytes of a stream that the caller has not received yet. */
    std::shared_ptr<Relay::AnswerMemory::Share> memory;
    /** Whether no more of a stream is read until its caller has received what was sent. */
    bool isPaused = false;
    /** The size of the body of a rejection, which is not forwarded. */
    std::size_t rejectionBytes = 0;
    /** Whether the call stays open after the attempt, to see whether the silent upstream goes on. */
    bool isWatched = false;
    /** Whether it was logged why the attempt is kept although its upstream is silent. */
    bool isKeptLogged = false;
    /** Whether a crash was recorded although the attempt is kept or parked. */
    bool isCrashRecorded = false;
    /** Since when the upstream has been doubtful or last proved that it runs; only if it is doubtful. */
    std::optional<Foundation::TimePoint> doubtfulSince;
    /** When the doubtful upstream is asked again whether it runs; none while it is being asked. */
    std::optional<Foundation::TimePoint> nextStatusCheckAt = Foundation::TimePoint {};

    /** Returns whether the upstream has stated that it does not run the request. */
    bool isRejected() const { return this->headers.isNotExecuted; }
};

/** An attempt that may go on while another one is the current one; most have a silent upstream. */
struct ParkedAttempt {
    std::uint64_t number = 0;
    Attempt attempt;
    /** The state of its stream. */
    Relay::EventSplitter events;
};

} // namespace Gateway
