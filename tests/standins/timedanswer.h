#pragma once

#include "answerfault.h"

#include <foundation/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** A moment of a request or of its answer. The parts of a call's body count as events. */
enum class AnswerMoment : std::uint8_t {
    /** After a connection was accepted; the upstream accepts no other one meanwhile. */
    Accepting,
    /** Between the head of a request and its body. */
    ReadingBody,
    BeforeHead,
    InsideHead,
    /** Between the head and the first event. */
    AfterHead,
    InsideEvent,
    BetweenEvents,
    /** Before the last byte, the terminating chunk or the close that ends the answer. */
    BeforeEnd,
};

/** How a stand-in spreads an answer over time; encoded in the path of a request after the name of the route. */
struct TimedAnswer {
    AnswerFraming framing = AnswerFraming::Length;
    std::chrono::milliseconds firstEventDelay { 0 };
    std::chrono::milliseconds eventInterval { 0 };
    int events = 1;

    /** Returns the segments of the path. */
    std::string path() const;

    /** Decodes a path that begins with the name of a route; none if it has other segments. */
    static std::optional<TimedAnswer> fromPath(std::string_view path);

    /** Returns the body from an event on; the first one has the number 1. */
    std::string body(int firstEvent = 1) const;
};

/** A part of an answer that is sent at once. */
struct AnswerPart {
    /** The time after the part before it. */
    Foundation::Duration delay {};
    /** What an upstream that is silent before this part has come to. */
    AnswerMoment moment = AnswerMoment::BeforeHead;
    std::string bytes;
};

/**
 * Returns the parts of an answer. The last one is empty if the answer ends with its connection.
 * @param head the status line and the headers that do not concern the framing.
 */
std::vector<AnswerPart> makeAnswerParts(const TimedAnswer& answer, int firstEvent, const std::string& head);
