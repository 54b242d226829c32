#include "eventsplitter.h"

#include <charconv>

namespace Relay {

namespace {

// Returns the offset after the empty line that ends the first event; npos if the event is incomplete.
std::size_t findEventEnd(std::string_view text)
{
    const std::size_t lineFeeds = text.find("\n\n");
    const std::size_t carriageReturns = text.find("\n\r\n");
    if (lineFeeds == std::string_view::npos && carriageReturns == std::string_view::npos)
        return std::string_view::npos;
    return lineFeeds < carriageReturns ? lineFeeds + 2 : carriageReturns + 3;
}

std::string_view findId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }
    return {};
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::string EventSplitter::feed(std::string_view data)
{
    this->buffer += data;
    std::string complete;
    std::string_view rest = this->buffer;
    while (!this->outOfOrder) {
        const std::size_t end = findEventEnd(rest);
        if (end == std::string_view::npos)
            break;
        this->recordEvent(rest.substr(0, end));
        if (this->outOfOrder)
            break;
        complete += rest.substr(0, end);
        rest.remove_prefix(end);
    }
    this->buffer.erase(0, this->buffer.size() - rest.size());
    return complete;
}

void EventSplitter::beginResumedStream()
{
    this->buffer.clear();
    this->resumedAfter = parseNumber(this->newestId);
}

void EventSplitter::recordEvent(std::string_view event)
{
    const std::string_view id = findId(event);
    if (this->resumedAfter) {
        const auto number = parseNumber(id);
        this->outOfOrder = !number || *number <= *this->resumedAfter;
        this->resumedAfter.reset();
        if (this->outOfOrder)
            return;
    }
    ++this->events;
    this->newestId = id;
}

} // namespace Relay
