#pragma once

#include <cstddef>
#include <string_view>

namespace Relay {

/**
 * Finds the ends of the events in an event stream that arrives in parts of any size. Lines may end with a line feed, a
 * carriage return or both, as the format allows.
 */
class EventScanner {
public:
    static constexpr std::size_t npos = std::string_view::npos;

    /**
     * Reads bytes up to the end of an event.
     * @param data the bytes that follow those read so far.
     * @return the number of bytes read up to the end of the event, possibly 0; npos if all were read without an end.
     */
    std::size_t findEnd(std::string_view data);

    /** @return whether the stream would break off inside an event if it ended here. */
    bool isInsideEvent() const { return this->hasField || !this->isLineEmpty; }

    /** Starts a new stream. */
    void reset() { *this = EventScanner(); }

private:
    bool endLine();

    bool isLineEmpty = true;
    /** Whether the current line is a comment, which belongs to no event. */
    bool isComment = false;
    /** Whether the current event has a line, and one that is not a comment. */
    bool hasLine = false;
    bool hasField = false;
    /** Whether a line feed that comes next belongs to the end of the last line. */
    bool isAfterCarriageReturn = false;
    /** Whether an event has ended, but for that line feed. */
    bool isEnding = false;
};

} // namespace Relay
