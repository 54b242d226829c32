#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Relay {

/**
 * Splits the body of an event stream, so that only whole events are passed on and a stream that broke off can be
 * resumed after the last of them.
 */
class EventSplitter {
public:
    /**
     * Takes bytes of the stream.
     * @return the whole events that they complete, as they were sent; empty if there are none.
     */
    std::string take(std::string_view data);

    /** @return what has come after the last whole event. */
    const std::string& rest() const { return this->partial; }

    /** Drops what has come after the last whole event, since the rest of it will not come. */
    void dropRest() { this->partial.clear(); }

    /** @return the number of whole events so far. */
    std::uint64_t eventCount() const { return this->events; }

    /** @return the id of the last whole event; empty if it had none. */
    const std::string& lastId() const { return this->newestId; }

    /**
     * Tells the splitter that the bytes that follow are a new run, which has to go on after the last event.
     */
    void beginResumedRun();

    /** @return whether the run since beginResumedRun() began with an event that does not follow. */
    bool isOutOfOrder() const { return this->outOfOrder; }

private:
    void noteEvent(std::string_view event);

    std::string partial;
    std::string newestId;
    std::uint64_t events = 0;
    std::optional<std::int64_t> expectedAfter;
    bool outOfOrder = false;
};

} // namespace Relay
