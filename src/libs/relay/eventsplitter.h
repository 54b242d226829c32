#pragma once

#include "eventscanner.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Relay {

/**
 * Splits the body of an event stream into events, so that only complete events are forwarded and a broken stream can be
 * resumed after the last complete event.
 */
class EventSplitter {
public:
    /**
     * Appends bytes of the stream.
     * @return the bytes of all events that are complete now, unchanged; empty if there are none.
     */
    std::string feed(std::string_view data);

    /** @return the bytes after the last complete event. */
    const std::string& partialEvent() const { return this->buffer; }

    /** @return whether the stream would break off inside an event if it ended here. */
    bool isInsideEvent() const { return this->scanner.isInsideEvent(); }

    /** Discards the bytes after the last complete event. Called when the rest of that event will not arrive. */
    void discardPartialEvent();

    /** @return the number of complete events so far. */
    std::uint64_t eventCount() const { return this->events; }

    /** @return the id of the last complete event; empty if it had none. */
    const std::string& lastEventId() const { return this->newestId; }

    /** Starts a resumed stream: the next event must have a higher id than the last one. */
    void beginResumedStream();

    /** @return whether the first event after beginResumedStream() had no number as id or one that is not higher. */
    bool isOutOfOrder() const { return this->outOfOrder; }

private:
    void recordEvent(std::string_view event);

    EventScanner scanner;
    std::string buffer;
    std::string newestId;
    std::uint64_t events = 0;
    /** The id that the first event of a resumed stream must exceed. */
    std::optional<std::int64_t> resumedAfter;
    bool outOfOrder = false;
};

} // namespace Relay
