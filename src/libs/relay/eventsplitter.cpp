#include "eventsplitter.h"

#include <charconv>
#include <utility>

namespace Relay {

namespace {

std::string_view findId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = event.find_first_of("\r\n");
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
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
    std::string complete;
    while (!data.empty() && !this->outOfOrder) {
        const std::size_t end = this->scanner.findEnd(data);
        this->buffer += data.substr(0, end);
        if (end == EventScanner::npos)
            break;
        data.remove_prefix(end);
        this->recordEvent(this->buffer);
        if (this->outOfOrder)
            break;
        // Gives back what a large event took, and does not copy a single one.
        if (complete.empty())
            complete = std::exchange(this->buffer, {});
        else
            complete += std::exchange(this->buffer, {});
    }
    return complete;
}

void EventSplitter::discardPartialEvent()
{
    // Gives back what a large event took.
    std::string().swap(this->buffer);
    this->scanner.reset();
}

void EventSplitter::beginResumedStream()
{
    this->discardPartialEvent();
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
